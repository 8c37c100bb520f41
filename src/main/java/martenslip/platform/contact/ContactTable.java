package martenslip.platform.contact;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.Request;
import martenslip.sip.transport.QueuedMessage;
import martenslip.tracking.AnswerDeadline;

/**
 * The contacts of one controller on the platform: what arrives becomes news for the module, what the module orders
 * becomes messages. It decides nothing. One thread, time of its wheel, so it runs on driven time too.
 *
 * <p>An order that fails at once, and the end of an attempt that was called off, become further news and never reach
 * back into a module that is amid another.
 */
public final class ContactTable implements Orders {
    private static final float[] NO_REPORT = {};

    private final TimerWheel wheel;
    private final ContactSettings terms;
    private final OutboundMessages out;
    private final Map<String, TrackedContact> byTag = new HashMap<>();
    private final Map<Long, TrackedContact> byId = new LinkedHashMap<>();
    private final Map<Long, TrackedContact> underWay = new LinkedHashMap<>();
    private final EstablishedContacts establishedCount;
    private final ReleaseSender releases;
    /** Sizes of the groups as they were told last. */
    private final Map<Long, Integer> sizes = new HashMap<>();

    private final ArrayDeque<Consumer<Controller>> news = new ArrayDeque<>();
    private final ContactCounters counters = new ContactCounters();
    private Controller setController;
    private boolean amid;
    private boolean refuseNewContacts;
    private long ids;

    public ContactTable(TimerWheel wheel, ContactSettings terms, OutboundMessages out) {
        this.wheel = wheel;
        this.terms = terms;
        this.out = out;
        releases = new ReleaseSender(wheel, out);
        establishedCount = new EstablishedContacts(out, releases, this::standingOver);
    }

    /** The module that was made with this desk as its orders. */
    public void setController(Controller made) {
        setController = made;
    }

    public ContactCounters counters() {
        return counters;
    }

    /** Contacts without a final answer. */
    public int openCount() {
        return byId.size();
    }

    public int establishedCount() {
        return establishedCount.count();
    }

    public boolean hasEstablishedAt(long target) {
        return establishedCount.at(target);
    }

    public int unacknowledgedReleaseCount() {
        return releases.unheard();
    }

    /** From now on what comes is refused; what is open is answered in its own time. */
    public void refuseNewContacts() {
        refuseNewContacts = true;
    }

    /** Tells the module, and then what its orders have brought about, one thing at a time. */
    public void notifyController(Consumer<Controller> what) {
        news.add(what);
        if (amid) {
            return;
        }
        amid = true;
        try {
            for (Consumer<Controller> next = news.poll(); next != null; next = news.poll()) {
                try {
                    next.accept(setController);
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

    public void setUpReceived(SetUpRequest asked) {
        TrackedContact same = byTag.get(asked.tag());
        if (asked.establishedSwitch() == null && same != null && same.open && same.line == asked.connectionId()) {
            // Which of the two its caller means can't be told, and neither may be answered as good.
            out.disconnect(asked.connectionId(), "two set-ups under one id");
            return;
        }
        if (asked.establishedSwitch() == null
                && (same != null || refuseNewContacts || byId.size() >= terms.maxOpen())) {
            counters.refusedUnseen++;
            out.contactAnswered(asked.connectionId(), asked.tag());
            out.sendToCaller(
                    asked.connectionId(),
                    same != null
                            ? CallerMessages.response(asked.invite(), 482, "Loop Detected")
                            : CallerMessages.deferred(asked.invite(), Span.ZERO));
            return;
        }
        if (asked.cancellation().isCancelled()) {
            // Nobody waits for it any more: what its caller said after it stands behind it in the inbox.
            counters.callerGone++;
            out.contactAnswered(asked.connectionId(), asked.tag());
            out.sendToCaller(asked.connectionId(), CallerMessages.response(asked.invite(), 487, "Request Terminated"));
            return;
        }
        TrackedContact one = new TrackedContact(++ids, asked);
        byTag.put(one.tag, one);
        byId.put(one.id, one);
        counters.taken++;
        Moment now = wheel.now();
        Span left = asked.patience().minus(now.since(asked.receivedAt()).atLeast(Span.ZERO));
        one.lastWord =
                wheel.scheduleAt(AnswerDeadline.forContact(now, left.plus(terms.answerSlack())), () -> lastWord(one));
        Contact contact = new Contact(
                one.id,
                asked.skill(),
                asked.dialled(),
                asked.destination(),
                asked.hint(),
                asked.width(),
                left.atLeast(Span.ZERO),
                false,
                asked.transit(),
                asked.redial());
        notifyController(to -> to.contactOffered(wheel.now(), contact));
    }

    /** A contact that stands already at a switch, as its caller says; no answer is expected. */
    public void establishedElsewhere(SetUpRequest asked, long target) {
        out.contactAnswered(asked.connectionId(), asked.tag());
        if (byTag.containsKey(asked.tag())) {
            return;
        }
        TrackedContact one = new TrackedContact(++ids, asked);
        one.open = false;
        one.acknowledged = true;
        one.attempt = new TrackedContact.Attempt(-1, target, null, wheel.now());
        byTag.put(one.tag, one);
        establishedCount.add(one, wheel.now());
        counters.inherited++;
    }

    /** One that names a switch that is nowhere: what it named is over. */
    public void establishedAtUnknownSwitch(SetUpRequest asked) {
        out.contactAnswered(asked.connectionId(), asked.tag());
        if (!byTag.containsKey(asked.tag())) {
            releases.release(asked.tag(), asked.calledNumber(), EndCause.CUT, asked.connectionId());
        }
    }

    public void cancelReceived(long line, Request cancel) {
        TrackedContact one = byTag.get(cancel.callId());
        if (one == null || one.line != line) {
            out.sendToCaller(line, CallerMessages.response(cancel, 481, "Call/Transaction Does Not Exist"));
            return;
        }
        out.sendToCaller(line, CallerMessages.response(cancel, 200, "OK"));
        leaves(one);
    }

    /** Its caller has cancelled, or is known to have gone before that was told here. */
    private void leaves(TrackedContact one) {
        if (one.open) {
            out.sendToCaller(one.line, CallerMessages.response(one.asked.invite(), 487, "Request Terminated"));
            callerGone(one);
        }
    }

    private void callerGone(TrackedContact one) {
        counters.callerGone++;
        closed(one);
        notifyController(to -> to.callerGone(wheel.now(), one.id));
    }

    public void byeReceived(long line, Request bye) {
        TrackedContact early = byTag.get(bye.callId());
        boolean open = early != null && early.open && early.line == line;
        boolean stands = early != null && early.stands;
        out.sendToCaller(
                line,
                open || stands
                        ? CallerMessages.response(bye, 200, "OK")
                        : CallerMessages.response(bye, 481, "Call/Transaction Does Not Exist"));
        if (stands) {
            establishedCount.releasedByCaller(early);
        } else if (open) {
            // RFC 3261 15.1.2: what is pending is still answered.
            leaves(early);
        }
    }

    /** The caller has the good answer. */
    public void ackReceived(String tag) {
        establishedCount.acknowledged(tag);
    }

    /** The caller has taken a release, or knows nothing of it. */
    public void releaseAcknowledged(String tag) {
        releases.heard(tag);
    }

    public void callerConnectionEnded(long line) {
        releases.lineOver(line);
        for (TrackedContact one : List.copyOf(byId.values())) {
            if (one.line == line) {
                callerGone(one);
            }
        }
        establishedCount.connectionOver(line);
    }

    // ---- what switches say

    public void started(long target, long connection, String tag, String description) {
        TrackedContact one = byTag.get(tag);
        if (one == null || one.stands || !out(one, target)) {
            return;
        }
        if (one.open && one.asked.cancellation().isCancelled()) {
            // Known to have gone, though the news of it is still on its way: it takes no answer as good any more.
            leaves(one);
        }
        if (one.attempt == null || one.attempt.givenUp) {
            // Its end is on its way to the switch, by the module's order or by the desk's.
            return;
        }
        if (description == null || !one.open) {
            giveUp(one, description == null ? RingEndCause.CUT : RingEndCause.CALLED_OFF);
            return;
        }
        Request invite = one.asked.invite();
        int number = one.attempt.number;
        Span took = wheel.now().since(one.attempt.begun);
        one.attempt.limit.cancel();
        underWay.remove(one.id);
        closed(one);
        establishedCount.add(one, wheel.now());
        counters.stood++;
        boolean said =
                out.sendToCaller(one.line, CallerMessages.stands(invite, description.getBytes(StandardCharsets.UTF_8)));
        notifyController(to -> to.established(wheel.now(), one.id, number, target, took));
        if (!said) {
            callerConnectionEnded(one.line);
        }
    }

    public void ended(long target, long connection, String tag, int cause, String note, float[] report) {
        out.sendFinished(target, connection, tag);
        TrackedContact one = byTag.get(tag);
        if (one == null || !out(one, target)) {
            return;
        }
        if (one.attempt.givenUp && !one.stands) {
            // It crossed the end that is on its way there, which counts; what it says of circuits is true all the same.
            if (report.length > 0) {
                loadReported(target, report);
            }
            return;
        }
        if (one.stands) {
            establishedCount.releasedBySwitch(one, cause, report);
        } else {
            EndCause end = EndCause.ofRing(cause, note);
            told(target, report);
            attemptOver(one, end.cause(), end.blame(), state(one, end, report));
        }
    }

    /** An answer counts for the attempt that is out; to one that was never written there is none. */
    private static boolean out(TrackedContact one, long target) {
        return one.attempt != null
                && one.attempt.target == target
                && (one.attempt.queued == null || one.attempt.queued.message().isWritten());
    }

    public void loadReported(long target, float[] report) {
        told(target, report);
        notifyController(to -> to.switchReported(wheel.now(), target, true, Span.ZERO, report));
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
    private float[] state(TrackedContact one, EndCause end, float[] report) {
        boolean full = end.cause() == RingEndCause.NOT_SENT && end.blame() == RejectionReason.NO_CIRCUIT;
        Integer size = sizes.get(one.attempt.target);
        return full && report.length == 0 && size != null ? new float[] {one.asked.width() - 1, size} : report;
    }

    /** A switch that has left the list for good; its number does not come again. */
    public void switchRemoved(long target) {
        sizes.remove(target);
    }

    /** A connection is over; the rings that went by it are given up, what stands is not touched. */
    public void switchConnectionEnded(long target, long connection, boolean everUp) {
        for (TrackedContact one : List.copyOf(underWay.values())) {
            if (one.attempt.connection() == connection) {
                boolean never = one.attempt.revoked();
                attemptOver(
                        one,
                        !everUp ? RingEndCause.UNREACHABLE : never ? RingEndCause.NOT_SENT : RingEndCause.CUT,
                        RejectionReason.NONE,
                        NO_REPORT);
            }
        }
    }

    /** The process behind a switch has ended: what stood there before a moment is over, and no release will come. */
    public void switchProcessEnded(long target, Moment before) {
        establishedCount.processOver(target, before);
    }

    // ---- ends

    private void closed(TrackedContact one) {
        one.open = false;
        one.lastWord.cancel();
        byId.remove(one.id);
        out.contactAnswered(one.line, one.tag);
        if (one.attempt == null) {
            byTag.remove(one.tag);
        }
    }

    private void standingOver(TrackedContact one, RingEndCause cause, float[] report) {
        byTag.remove(one.tag);
        TrackedContact.Attempt was = one.attempt;
        if (was.number < 0) {
            // The module never knew it: the report still tells of circuits.
            if (report.length > 0) {
                loadReported(was.target, report);
            }
            return;
        }
        Span took = wheel.now().since(was.begun);
        notifyController(to -> to.ringEnded(
                wheel.now(),
                new RingEnd(one.id, was.number, was.target, cause, RejectionReason.NONE, took, true, report)));
    }

    /**
     * Gives an attempt up toward its switch. One whose write has not begun is taken back: it was never sent, and the
     * switch hears nothing of it. Of one that was, the end counts once it is written, as the release after it does.
     */
    private void giveUp(TrackedContact one, RingEndCause cause) {
        TrackedContact.Attempt attempt = one.attempt;
        if (attempt.revoked()) {
            attemptOver(one, RingEndCause.NOT_SENT, RejectionReason.NONE, NO_REPORT);
            return;
        }
        attempt.limit.cancel();
        attempt.givenUp = true;
        out.sendFinish(attempt.target, attempt.connection(), one.tag, EndCause.NORMAL, () -> {
            if (one.attempt == attempt) {
                attemptOver(one, cause, RejectionReason.NONE, NO_REPORT);
            }
        });
    }

    private void attemptOver(TrackedContact one, RingEndCause cause, RejectionReason blame, float[] report) {
        TrackedContact.Attempt attempt = one.attempt;
        attempt.limit.cancel();
        underWay.remove(one.id);
        one.attempt = null;
        if (!one.open) {
            byTag.remove(one.tag);
        }
        counters.ended(cause, blame);
        Span took = wheel.now().since(attempt.begun);
        notifyController(to -> to.ringEnded(
                wheel.now(),
                new RingEnd(one.id, attempt.number, attempt.target, cause, blame, took, !one.open, report)));
    }

    private void lastWord(TrackedContact one) {
        if (!one.open) {
            return;
        }
        out.log("last-word", "the module left a contact without an answer");
        out.sendToCaller(one.line, CallerMessages.response(one.asked.invite(), 500, "Server Internal Error"));
        callerGone(one);
    }

    // ---- what the module orders

    @Override
    public void ring(long contact, long target, Span limit) {
        TrackedContact one = byId.get(contact);
        if (one == null || one.attempt != null) {
            out.log("fault", "an attempt for a contact that is over or has one out");
            return;
        }
        int number = one.attempts++;
        counters.rings++;
        SetUpRequest asked = one.asked;
        Moment until = wheel.now().plus(limit);
        QueuedMessage queued = asked.cancellation().isCancelled()
                ? null
                : out.sendStart(
                        target,
                        new SwitchStartRequest(
                                one.tag,
                                terms.skills().get(asked.skill()),
                                one.key,
                                asked.description(),
                                until,
                                asked.cancellation()),
                        () -> unsent(one, number));
        TrackedContact.Attempt attempt = new TrackedContact.Attempt(number, target, queued, wheel.now());
        one.attempt = attempt;
        underWay.put(one.id, one);
        attempt.limit = wheel.scheduleAt(until, () -> {
            if (one.attempt == attempt) {
                giveUp(one, RingEndCause.TIMED_OUT);
            }
        });
        if (asked.cancellation().isCancelled()) {
            news.add(to -> leaves(one));
        } else if (queued == null) {
            news.add(to -> {
                if (one.attempt == attempt) {
                    attemptOver(one, RingEndCause.UNREACHABLE, RejectionReason.NONE, NO_REPORT);
                }
            });
        }
    }

    /** An attempt's reason no longer held when its turn to be written came. */
    private void unsent(TrackedContact one, int number) {
        if (one.attempt != null && one.attempt.number == number) {
            attemptOver(one, RingEndCause.NOT_SENT, RejectionReason.NONE, NO_REPORT);
        }
    }

    @Override
    public void cancel(long contact, int number) {
        TrackedContact one = underWay.get(contact);
        if (one == null || one.attempt.number != number || one.attempt.givenUp) {
            return;
        }
        TrackedContact.Attempt attempt = one.attempt;
        if (!attempt.revoked()) {
            out.sendFinish(attempt.target, attempt.connection(), one.tag, EndCause.NORMAL, () -> {});
        }
        attempt.givenUp = true;
        // Called within the module: how it ended is told after, when it is known whether the contact is over.
        news.add(to -> {
            if (one.attempt == attempt) {
                attemptOver(
                        one,
                        attempt.revoked() ? RingEndCause.NOT_SENT : RingEndCause.CALLED_OFF,
                        RejectionReason.NONE,
                        NO_REPORT);
            }
        });
    }

    @Override
    public void defer(long contact, Span comeBack) {
        TrackedContact one = byId.get(contact);
        if (one != null) {
            counters.deferred++;
            out.sendToCaller(one.line, CallerMessages.deferred(one.asked.invite(), comeBack));
            closed(one);
        }
    }

    @Override
    public void abandon(long contact) {
        TrackedContact one = byId.get(contact);
        if (one != null) {
            counters.abandoned++;
            out.sendToCaller(one.line, CallerMessages.response(one.asked.invite(), 500, "Server Internal Error"));
            closed(one);
        }
    }

    @Override
    public void startTimer(Span delay, long token) {
        wheel.scheduleAfter(delay, () -> notifyController(to -> to.timerExpired(wheel.now(), token)));
    }

    @Override
    public void probe(long target) {
        out.log("probe", "probes are not allowed on this platform");
    }

    @Override
    public void sendNote(int peer, byte[] note) {
        out.sendNote(peer, note);
    }

    @Override
    public void watchSwitchList(boolean on) {
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
