package martenslip.platform.desk;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import martenslip.control.Blame;
import martenslip.control.Cause;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RingEnd;
import martenslip.control.Span;
import martenslip.roll.LastWord;
import martenslip.sip.message.Request;
import martenslip.sip.transport.Queued;
import martenslip.wheel.Wheel;

/**
 * The contacts of one controller on the platform: what arrives becomes news for the module, what the module orders
 * becomes messages. It decides nothing. One thread, time of its wheel, so it runs on driven time too.
 *
 * <p>An order that fails at once, and the end of an attempt that was called off, become further news and never reach
 * back into a module that is amid another.
 */
public final class Desk implements Orders {
    private static final float[] NO_REPORT = {};

    private final Wheel wheel;
    private final Terms terms;
    private final Outward out;
    private final Map<String, Taken> byTag = new HashMap<>();
    private final Map<Long, Taken> byId = new LinkedHashMap<>();
    private final Map<Long, Taken> underWay = new LinkedHashMap<>();
    private final Standing standing;
    private final Releases releases;
    /** Sizes of the groups as they were told last. */
    private final Map<Long, Integer> sizes = new HashMap<>();

    private final ArrayDeque<Consumer<Controller>> news = new ArrayDeque<>();
    private final Counts counts = new Counts();
    private Controller module;
    private boolean amid;
    private boolean closing;
    private long ids;

    public Desk(Wheel wheel, Terms terms, Outward out) {
        this.wheel = wheel;
        this.terms = terms;
        this.out = out;
        releases = new Releases(wheel, out);
        standing = new Standing(out, releases, this::standingOver);
    }

    /** The module that was made with this desk as its orders. */
    public void module(Controller made) {
        module = made;
    }

    public Counts counts() {
        return counts;
    }

    /** Contacts without a final answer. */
    public int open() {
        return byId.size();
    }

    public int standing() {
        return standing.count();
    }

    public boolean standsAt(long target) {
        return standing.at(target);
    }

    public int unheardReleases() {
        return releases.unheard();
    }

    /** From now on what comes is refused; what is open is answered in its own time. */
    public void closing() {
        closing = true;
    }

    /** Tells the module, and then what its orders have brought about, one thing at a time. */
    public void tell(Consumer<Controller> what) {
        news.add(what);
        if (amid) {
            return;
        }
        amid = true;
        try {
            for (Consumer<Controller> next = news.poll(); next != null; next = news.poll()) {
                try {
                    next.accept(module);
                } catch (RuntimeException e) {
                    // It costs this piece of news: contacts it left open have their last word here.
                    out.log("fault", "the module: " + e);
                }
            }
        } finally {
            amid = false;
        }
    }

    // ---- what callers say

    public void setUp(SetUp asked) {
        Taken same = byTag.get(asked.tag());
        if (asked.standsAt() == null && same != null && same.open && same.line == asked.line()) {
            // Which of the two its caller means can't be told, and neither may be answered as good.
            out.drop(asked.line(), "two set-ups under one id");
            return;
        }
        if (asked.standsAt() == null && (same != null || closing || byId.size() >= terms.mostOpen())) {
            counts.refusedUnseen++;
            out.settled(asked.line(), asked.tag());
            out.toCaller(
                    asked.line(),
                    same != null
                            ? Replies.plain(asked.invite(), 482, "Loop Detected")
                            : Replies.deferred(asked.invite(), Span.ZERO));
            return;
        }
        if (asked.caller().made()) {
            // Nobody waits for it any more: what its caller said after it stands behind it in the inbox.
            counts.callerGone++;
            out.settled(asked.line(), asked.tag());
            out.toCaller(asked.line(), Replies.plain(asked.invite(), 487, "Request Terminated"));
            return;
        }
        Taken one = new Taken(++ids, asked);
        byTag.put(one.tag, one);
        byId.put(one.id, one);
        counts.taken++;
        Moment now = wheel.now();
        Span left = asked.patience().minus(now.since(asked.heardAt()).least(Span.ZERO));
        one.lastWord = wheel.at(LastWord.of(now, left.plus(terms.answerSlack())), () -> lastWord(one));
        Contact contact = new Contact(
                one.id,
                asked.skill(),
                asked.dialled(),
                asked.destination(),
                asked.hint(),
                asked.width(),
                left.least(Span.ZERO),
                false,
                asked.transit(),
                asked.again());
        tell(to -> to.offered(wheel.now(), contact));
    }

    /** A contact that stands already at a switch, as its caller says; no answer is expected. */
    public void stoodBefore(SetUp asked, long target) {
        out.settled(asked.line(), asked.tag());
        if (byTag.containsKey(asked.tag())) {
            return;
        }
        Taken one = new Taken(++ids, asked);
        one.open = false;
        one.acknowledged = true;
        one.attempt = new Taken.Attempt(-1, target, null, wheel.now());
        byTag.put(one.tag, one);
        standing.add(one, wheel.now());
        counts.inherited++;
    }

    /** One that names a switch that is nowhere: what it named is over. */
    public void stoodNowhere(SetUp asked) {
        out.settled(asked.line(), asked.tag());
        if (!byTag.containsKey(asked.tag())) {
            releases.release(asked.tag(), asked.key(), Ended.CUT, asked.line());
        }
    }

    public void withdrawn(long line, Request cancel) {
        Taken one = byTag.get(cancel.callId());
        if (one == null || one.line != line) {
            out.toCaller(line, Replies.plain(cancel, 481, "Call/Transaction Does Not Exist"));
            return;
        }
        out.toCaller(line, Replies.plain(cancel, 200, "OK"));
        leaves(one);
    }

    /** Its caller has cancelled, or is known to have gone before that was told here. */
    private void leaves(Taken one) {
        if (one.open) {
            out.toCaller(one.line, Replies.plain(one.asked.invite(), 487, "Request Terminated"));
            callerGone(one);
        }
    }

    private void callerGone(Taken one) {
        counts.callerGone++;
        closed(one);
        tell(to -> to.callerGone(wheel.now(), one.id));
    }

    public void released(long line, Request bye) {
        Taken early = byTag.get(bye.callId());
        boolean open = early != null && early.open && early.line == line;
        boolean stands = early != null && early.stands;
        out.toCaller(
                line,
                open || stands
                        ? Replies.plain(bye, 200, "OK")
                        : Replies.plain(bye, 481, "Call/Transaction Does Not Exist"));
        if (stands) {
            standing.releasedByCaller(early);
        } else if (open) {
            // RFC 3261 15.1.2: what is pending is still answered.
            leaves(early);
        }
    }

    /** The caller has the good answer. */
    public void acknowledged(String tag) {
        standing.acknowledged(tag);
    }

    /** The caller has taken a release, or knows nothing of it. */
    public void releaseHeard(String tag) {
        releases.heard(tag);
    }

    public void lineOver(long line) {
        releases.lineOver(line);
        for (Taken one : List.copyOf(byId.values())) {
            if (one.line == line) {
                callerGone(one);
            }
        }
        standing.connectionOver(line);
    }

    // ---- what switches say

    public void started(long target, long connection, String tag, String description) {
        Taken one = byTag.get(tag);
        if (one == null || one.stands || !out(one, target)) {
            return;
        }
        if (one.open && one.asked.caller().made()) {
            // Known to have gone, though the news of it is still on its way: it takes no answer as good any more.
            leaves(one);
        }
        if (one.attempt == null || one.attempt.givenUp) {
            // Its end is on its way to the switch, by the module's order or by the desk's.
            return;
        }
        if (description == null || !one.open) {
            giveUp(one, description == null ? Cause.CUT : Cause.CALLED_OFF);
            return;
        }
        Request invite = one.asked.invite();
        int number = one.attempt.number;
        Span took = wheel.now().since(one.attempt.begun);
        one.attempt.limit.cancel();
        underWay.remove(one.id);
        closed(one);
        standing.add(one, wheel.now());
        counts.stood++;
        boolean said = out.toCaller(one.line, Replies.stands(invite, description.getBytes(StandardCharsets.UTF_8)));
        tell(to -> to.stands(wheel.now(), one.id, number, target, took));
        if (!said) {
            lineOver(one.line);
        }
    }

    public void ended(long target, long connection, String tag, int cause, String note, float[] report) {
        out.finished(target, connection, tag);
        Taken one = byTag.get(tag);
        if (one == null || !out(one, target)) {
            return;
        }
        if (one.attempt.givenUp && !one.stands) {
            // It crossed the end that is on its way there, which counts; what it says of circuits is true all the same.
            if (report.length > 0) {
                load(target, report);
            }
            return;
        }
        if (one.stands) {
            standing.releasedBySwitch(one, cause, report);
        } else {
            Ended end = Ended.ofRing(cause, note);
            told(target, report);
            attemptOver(one, end.cause(), end.blame(), state(one, end, report));
        }
    }

    /** An answer counts for the attempt that is out; to one that was never written there is none. */
    private static boolean out(Taken one, long target) {
        return one.attempt != null
                && one.attempt.target == target
                && (one.attempt.queued == null || one.attempt.queued.message().written());
    }

    public void load(long target, float[] report) {
        told(target, report);
        tell(to -> to.reported(wheel.now(), target, true, Span.ZERO, report));
    }

    private void told(long target, float[] report) {
        if (report.length >= 2 && report[1] >= 0) {
            sizes.put(target, (int) report[1]);
        }
    }

    /**
     * A set-up that found too few circuits says so without a report: that few are free is a state of the group all
     * the same, and where the switch told none when they were taken, it is the only word of it.
     */
    private float[] state(Taken one, Ended end, float[] report) {
        boolean full = end.cause() == Cause.NOT_SENT && end.blame() == Blame.NO_CIRCUIT;
        Integer size = sizes.get(one.attempt.target);
        return full && report.length == 0 && size != null ? new float[] {one.asked.width() - 1, size} : report;
    }

    /** A switch that has left the list for good; its number does not come again. */
    public void forget(long target) {
        sizes.remove(target);
    }

    /** A connection is over; the rings that went by it are given up, what stands is not touched. */
    public void connectionOver(long target, long connection, boolean everUp) {
        for (Taken one : List.copyOf(underWay.values())) {
            if (one.attempt.connection() == connection) {
                boolean never = one.attempt.revoked();
                attemptOver(
                        one, !everUp ? Cause.UNREACHABLE : never ? Cause.NOT_SENT : Cause.CUT, Blame.NONE, NO_REPORT);
            }
        }
    }

    /** The process behind a switch has ended: what stood there before a moment is over, and no release will come. */
    public void switchOver(long target, Moment before) {
        standing.processOver(target, before);
    }

    // ---- ends

    private void closed(Taken one) {
        one.open = false;
        one.lastWord.cancel();
        byId.remove(one.id);
        out.settled(one.line, one.tag);
        if (one.attempt == null) {
            byTag.remove(one.tag);
        }
    }

    private void standingOver(Taken one, Cause cause, float[] report) {
        byTag.remove(one.tag);
        Taken.Attempt was = one.attempt;
        if (was.number < 0) {
            // The module never knew it: the report still tells of circuits.
            if (report.length > 0) {
                load(was.target, report);
            }
            return;
        }
        Span took = wheel.now().since(was.begun);
        tell(to -> to.ringEnded(
                wheel.now(), new RingEnd(one.id, was.number, was.target, cause, Blame.NONE, took, true, report)));
    }

    /**
     * Gives an attempt up toward its switch. One whose write has not begun is taken back: it was never sent, and the
     * switch hears nothing of it. Of one that was, the end counts once it is written, as the release after it does.
     */
    private void giveUp(Taken one, Cause cause) {
        Taken.Attempt attempt = one.attempt;
        if (attempt.revoked()) {
            attemptOver(one, Cause.NOT_SENT, Blame.NONE, NO_REPORT);
            return;
        }
        attempt.limit.cancel();
        attempt.givenUp = true;
        out.finish(attempt.target, attempt.connection(), one.tag, Ended.NORMAL, () -> {
            if (one.attempt == attempt) {
                attemptOver(one, cause, Blame.NONE, NO_REPORT);
            }
        });
    }

    private void attemptOver(Taken one, Cause cause, Blame blame, float[] report) {
        Taken.Attempt attempt = one.attempt;
        attempt.limit.cancel();
        underWay.remove(one.id);
        one.attempt = null;
        if (!one.open) {
            byTag.remove(one.tag);
        }
        counts.ended(cause, blame);
        Span took = wheel.now().since(attempt.begun);
        tell(to -> to.ringEnded(
                wheel.now(),
                new RingEnd(one.id, attempt.number, attempt.target, cause, blame, took, !one.open, report)));
    }

    private void lastWord(Taken one) {
        if (!one.open) {
            return;
        }
        out.log("last-word", "the module left a contact without an answer");
        out.toCaller(one.line, Replies.plain(one.asked.invite(), 500, "Server Internal Error"));
        callerGone(one);
    }

    // ---- what the module orders

    @Override
    public void ring(long contact, long target, Span limit) {
        Taken one = byId.get(contact);
        if (one == null || one.attempt != null) {
            out.log("fault", "an attempt for a contact that is over or has one out");
            return;
        }
        int number = one.attempts++;
        counts.rings++;
        SetUp asked = one.asked;
        Moment until = wheel.now().plus(limit);
        Queued queued = asked.caller().made()
                ? null
                : out.start(
                        target,
                        new Start(
                                one.tag,
                                terms.skills().get(asked.skill()),
                                one.key,
                                asked.description(),
                                until,
                                asked.caller()),
                        () -> unsent(one, number));
        Taken.Attempt attempt = new Taken.Attempt(number, target, queued, wheel.now());
        one.attempt = attempt;
        underWay.put(one.id, one);
        attempt.limit = wheel.at(until, () -> {
            if (one.attempt == attempt) {
                giveUp(one, Cause.TIMED_OUT);
            }
        });
        if (asked.caller().made()) {
            news.add(to -> leaves(one));
        } else if (queued == null) {
            news.add(to -> {
                if (one.attempt == attempt) {
                    attemptOver(one, Cause.UNREACHABLE, Blame.NONE, NO_REPORT);
                }
            });
        }
    }

    /** An attempt's reason no longer held when its turn to be written came. */
    private void unsent(Taken one, int number) {
        if (one.attempt != null && one.attempt.number == number) {
            attemptOver(one, Cause.NOT_SENT, Blame.NONE, NO_REPORT);
        }
    }

    @Override
    public void callOff(long contact, int number) {
        Taken one = underWay.get(contact);
        if (one == null || one.attempt.number != number || one.attempt.givenUp) {
            return;
        }
        Taken.Attempt attempt = one.attempt;
        if (!attempt.revoked()) {
            out.finish(attempt.target, attempt.connection(), one.tag, Ended.NORMAL, () -> {});
        }
        attempt.givenUp = true;
        // Called within the module: how it ended is told after, when it is known whether the contact is over.
        news.add(to -> {
            if (one.attempt == attempt) {
                attemptOver(one, attempt.revoked() ? Cause.NOT_SENT : Cause.CALLED_OFF, Blame.NONE, NO_REPORT);
            }
        });
    }

    @Override
    public void defer(long contact, Span comeBack) {
        Taken one = byId.get(contact);
        if (one != null) {
            counts.deferred++;
            out.toCaller(one.line, Replies.deferred(one.asked.invite(), comeBack));
            closed(one);
        }
    }

    @Override
    public void abandon(long contact) {
        Taken one = byId.get(contact);
        if (one != null) {
            counts.abandoned++;
            out.toCaller(one.line, Replies.plain(one.asked.invite(), 500, "Server Internal Error"));
            closed(one);
        }
    }

    @Override
    public void clock(Span delay, long token) {
        wheel.after(delay, () -> tell(to -> to.clockRung(wheel.now(), token)));
    }

    @Override
    public void probe(long target) {
        out.log("probe", "probes are not allowed on this platform");
    }

    @Override
    public void note(int peer, byte[] note) {
        out.note(peer, note);
    }

    @Override
    public void watchList(boolean on) {
        // The journal service tells unasked; there is nothing to subscribe to.
    }

    @Override
    public void log(String line) {
        out.log("module", line);
    }

    /** For checks: contacts that this desk still knows. */
    public Collection<String> known() {
        return List.copyOf(byTag.keySet());
    }
}
