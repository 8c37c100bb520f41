package martenslip.platform.contact;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.InterleavingExplorer;
import martenslip.InterleavingExplorer.Event;
import martenslip.RoutingPolicy;
import martenslip.RuleChecker;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.OutgoingMessage;
import martenslip.sip.transport.QueuedMessage;
import martenslip.sip.transport.RevocableMessage;

/**
 * The very desk, module and revocable messages between callers and one switch, with the places where something may
 * wait: the inbox of the deciding thread, a connection that is not up, a writer that is held. Anything may come while
 * something waits. It judges by what is written to the switch and to callers, and when.
 */
final class WriteQueueModel extends CheckedOutboundMessages implements InterleavingExplorer.Simulation {
    /** A fault planted to see that the check finds it. */
    enum InjectedFault {
        NONE,
        DEPARTED,
        DRAINED,
        END_NOT_WRITTEN,
        NOT_REVOKED
    }

    private static final Span PATIENCE = Span.ofMillis(1500);
    private static final Span SLACK = Span.ofMillis(50);
    /** Over the release of 300 ms and a round. */
    private static final Span STEP = Span.ofMillis(350);

    private static final Span PROCESS_ENDS = Span.ofMillis(1000);
    private static final Span TURN = Span.ofMillis(25);
    private static final long TARGET = 101;

    record Scenario(int offers, int circuits, boolean up) {}

    private final Scenario plan;
    private final InjectedFault plant;
    private final TimerWheel wheel = new TimerWheel(new Moment(0));
    private final ContactTable desk;
    private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
    private final ArrayDeque<OutgoingMessage> unsent = new ArrayDeque<>();
    private final Set<String> callers = new LinkedHashSet<>();
    private final Map<String, CallerCancellation> marks = new LinkedHashMap<>();
    private final Set<String> written = new LinkedHashSet<>();
    private final Set<String> standing = new LinkedHashSet<>();
    private final Set<String> done = new LinkedHashSet<>();
    private long link = 40;
    private boolean up;
    private boolean writerHeld;
    private boolean deciderHeld;
    private boolean takesNew = true;
    private int offered;

    WriteQueueModel(Scenario plan, InjectedFault plant) {
        super(new RuleChecker(Span.ZERO, Span.ofMillis(300), Span.ofMillis(10_000)), "switch-over", "unsure");
        this.plan = plan;
        this.plant = plant;
        up = plan.up;
        desk = new ContactTable(
                wheel,
                new ContactSettings(List.of("cheap", "dear"), 100, Span.ofMillis(9000), Span.ofMillis(20)),
                this);
        desk.setController(new RoutingPolicy(ContactTableModel.settings(), 7, wheel.now(), desk));
        list(SwitchEntry.State.READY);
        desk.loadReported(TARGET, new float[] {plan.circuits, plan.circuits, -1});
    }

    private void list(SwitchEntry.State state) {
        desk.notifyController(to -> to.switchListReceived(
                wheel.now(),
                ListKind.CHANGES,
                List.of(
                        new SwitchEntry(100, 0, SwitchEntry.State.READY, null, 0),
                        new SwitchEntry(TARGET, 1, state, null, 0))));
    }

    @Override
    public List<Event> enabledEvents() {
        List<Event> all = new ArrayList<>();
        if (deciderHeld) {
            all.add(event("decider goes on", () -> deciderHeld = false));
        }
        if (writerHeld) {
            all.add(event("writer goes on", () -> writerHeld = false));
        }
        if (!up) {
            all.add(event("up", () -> up = true));
            once(all, "never up", () -> lost(false));
        }
        // A deciding thread that is held turns no wheel either: what is held there waits, it is not late.
        if (!deciderHeld
                && (!callers.isEmpty()
                        || !written.isEmpty()
                        || !unsent.isEmpty()
                        || desk.unacknowledgedReleaseCount() > 0
                        || !desk.known().isEmpty() && standing.isEmpty())) {
            all.add(event("time", this::time));
        }
        if (offered < plan.offers) {
            all.add(event("offer", this::offer));
        }
        for (String tag : List.copyOf(callers)) {
            once(all, "cancel " + tag, () -> cancel(tag));
            once(all, "end " + tag, () -> ends(tag));
        }
        for (String tag : List.copyOf(written)) {
            all.add(event("answer " + tag, () -> answer(tag)));
            once(all, "spoilt " + tag, () -> inbox.add(() -> desk.started(TARGET, link, tag, null)));
            once(all, "full " + tag, () -> over(tag, 34, false));
        }
        for (String tag : List.copyOf(standing)) {
            once(all, "second " + tag, () -> inbox.add(() -> desk.started(TARGET, link, tag, "c=second")));
            all.add(event("release " + tag, () -> over(tag, 16, false)));
        }
        if (up && (!unsent.isEmpty() || !written.isEmpty())) {
            once(all, "reset", () -> lost(true));
        }
        once(all, "writer held", () -> writerHeld = true);
        once(all, "decider held", () -> deciderHeld = true);
        if (offered > 0) {
            once(all, "drain", () -> inbox.add(this::drain));
            once(all, "remove", () -> inbox.add(this::remove));
            once(all, "term", () -> inbox.add(desk::refuseNewContacts));
        }
        return all;
    }

    private void once(List<Event> all, String name, Runnable what) {
        if (!done.contains(name)) {
            all.add(event(name, () -> {
                done.add(name);
                what.run();
            }));
        }
    }

    /** After each, whatever is not held goes on. */
    private Event event(String name, Runnable what) {
        return new Event(name, () -> {
            what.run();
            settle();
        });
    }

    private void settle() {
        while (!deciderHeld && !inbox.isEmpty() || !writerHeld && up && !unsent.isEmpty()) {
            if (!deciderHeld && !inbox.isEmpty()) {
                inbox.poll().run();
            } else {
                OutgoingMessage next = unsent.poll();
                next.bytes();
                next.completed();
            }
        }
    }

    @Override
    public void checkQuiescent() {
        if (!desk.known().isEmpty() || desk.openCount() != 0 || desk.establishedCount() != 0 || !inbox.isEmpty()) {
            rules.addViolation(
                    "kept", "left over: " + desk.known() + " " + desk.openCount() + " " + desk.establishedCount());
        }
        if (!written.isEmpty()) {
            rules.addViolation("kept", "still held at the switch: " + written);
        }
    }

    private void time() {
        for (Moment until = wheel.now().plus(STEP); wheel.now().before(until); settle()) {
            wheel.advanceTo(wheel.now().plus(TURN));
            rules.checkDeadlines(wheel.now());
        }
    }

    private void offer() {
        int number = ++offered;
        String tag = ContactTableHarness.tag(number);
        CallerCancellation caller = new CallerCancellation();
        callers.add(tag);
        marks.put(tag, caller);
        rules.contactTaken(tag, wheel.now().plus(PATIENCE).plus(SLACK));
        SetUpRequest asked = new SetUpRequest(
                number,
                ContactTableHarness.request("INVITE", number),
                tag,
                "00000000000000aa",
                number % 2,
                wheel.now(),
                PATIENCE,
                1,
                -1,
                1,
                false,
                false,
                null,
                "v=0",
                caller);
        inbox.add(() -> desk.setUpReceived(asked));
    }

    private void leaves(String tag) {
        callers.remove(tag);
        rules.callerGone(tag);
        marks.get(tag).cancel();
    }

    private void cancel(String tag) {
        leaves(tag);
        int number = (int) Long.parseLong(tag, 16);
        inbox.add(() -> desk.cancelReceived(number, ContactTableHarness.request("CANCEL", number)));
    }

    private void ends(String tag) {
        leaves(tag);
        inbox.add(() -> desk.callerConnectionEnded(Long.parseLong(tag, 16)));
    }

    private void answer(String tag) {
        written.remove(tag);
        rules.ringEnded(wheel.now(), tag, false);
        standing.add(tag);
        long by = link;
        inbox.add(() -> desk.started(TARGET, by, tag, "c=" + tag));
    }

    private void over(String tag, int cause, boolean held) {
        if (written.remove(tag)) {
            rules.ringEnded(wheel.now(), tag, held);
        }
        standing.remove(tag);
        long by = link;
        inbox.add(() -> desk.ended(TARGET, by, tag, cause, cause == 34 ? "no_circuit" : null, new float[0]));
    }

    /** Its connection is over and another is asked for, which is up at once where the first was. */
    private void lost(boolean everUp) {
        long by = link++;
        List<OutgoingMessage> never = List.copyOf(unsent);
        unsent.clear();
        written.forEach(tag -> rules.ringEnded(wheel.now(), tag, true));
        written.clear();
        never.forEach(OutgoingMessage::completed);
        inbox.add(() -> desk.switchConnectionEnded(TARGET, by, everUp));
    }

    private void drain() {
        takesNew = false;
        rules.setDraining(wheel.now(), "0", TARGET, true);
        list(SwitchEntry.State.DRAINING);
    }

    private void remove() {
        takesNew = false;
        rules.setDraining(wheel.now(), "0", TARGET, true);
        list(SwitchEntry.State.GONE);
        // Its process ends some time after; until then it may still say something.
        wheel.scheduleAfter(PROCESS_ENDS, () -> {
            standing.clear();
            lost(true);
            inbox.add(() -> desk.switchProcessEnded(TARGET, null));
        });
    }

    // ---- what the desk sends

    @Override
    public QueuedMessage sendStart(long target, SwitchStartRequest start, Runnable unsaid) {
        String tag = start.tag();
        boolean looks = plant != InjectedFault.DEPARTED;
        RevocableMessage message = new RevocableMessage(
                0,
                () -> {
                    boolean due = looks
                            ? start.isDue(wheel.now())
                            : start.remaining(wheel.now()).longerThan(Span.ZERO);
                    if (!due || !takesNew && plant != InjectedFault.DRAINED) {
                        return null;
                    }
                    rules.ringSent(wheel.now(), "0", tag, target);
                    written.add(tag);
                    return new byte[0];
                },
                () -> inbox.add(unsaid));
        if (plant == InjectedFault.NOT_REVOKED) {
            // Written whatever became of it, as it was before: the sender's word comes too late.
            unsent.add(OutgoingMessage.of(new byte[0], () -> {
                rules.ringSent(wheel.now(), "0", tag, target);
                written.add(tag);
            }));
            message.bytes();
            return new QueuedMessage(link, message);
        }
        unsent.add(message);
        return new QueuedMessage(link, message);
    }

    @Override
    public void sendFinish(long target, long connection, String tag, int cause, Runnable told) {
        if (plant == InjectedFault.END_NOT_WRITTEN) {
            inbox.add(told);
        }
        Runnable end = () -> {
            if (written.remove(tag)) {
                rules.ringEnded(wheel.now(), tag, true);
            }
            standing.remove(tag);
        };
        unsent.add(new OutgoingMessage() {
            @Override
            public int size() {
                return 0;
            }

            @Override
            public byte[] bytes() {
                end.run();
                return new byte[0];
            }

            @Override
            public void completed() {
                // Lost with its connection, the switch gives up by itself what went by it.
                end.run();
                if (plant != InjectedFault.END_NOT_WRITTEN) {
                    inbox.add(told);
                }
            }
        });
    }

    @Override
    public boolean sendToCaller(long line, byte[] bytes) {
        var message = MessageParser.parseMinimal(bytes, bytes.length).message();
        String tag = message.callId();
        if (message instanceof Request) {
            if (callers.contains(tag)) {
                rules.addViolation(1, tag + " was released before its answer");
            }
            inbox.add(() -> desk.releaseAcknowledged(tag));
            return true;
        }
        Response answer = (Response) message;
        if (!answer.headers().first("CSeq").endsWith("INVITE") || answer.status() == 487) {
            return true;
        }
        if (marks.get(tag).isCancelled()) {
            // A refusal may cross its leaving, and nobody waits for it; a good answer holds a circuit for nobody.
            if (answer.isSuccess()) {
                rules.addViolation("departed", tag + " was served after it had left");
            }
            return true;
        }
        callers.remove(tag);
        rules.contactAnswered(wheel.now(), tag);
        if (answer.isSuccess()) {
            if (!new String(answer.body()).equals("c=" + tag)) {
                rules.addViolation(1, tag + " was served with what no switch made for it");
            }
            inbox.add(() -> desk.ackReceived(tag));
        }
        return true;
    }
}
