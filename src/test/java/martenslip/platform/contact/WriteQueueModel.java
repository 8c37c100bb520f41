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
 * The contact table, the real routing module and revocable messages between callers and one switch, with the places
 * where something may wait: the inbox of the decision thread, a connection that is not up, a writer that is held. Any
 * event may come while something waits. The rules are checked on the messages written to the switch and to callers,
 * and on their times.
 */
final class WriteQueueModel extends CheckedOutboundMessages implements InterleavingExplorer.Simulation {
    /** A fault that is injected to check that the rules find it. */
    enum InjectedFault {
        NONE,
        CANCELLATION_IGNORED,
        DRAINING_IGNORED,
        FINISH_REPORTED_BEFORE_WRITE,
        WRITTEN_AFTER_REVOCATION
    }

    private static final Span PATIENCE = Span.ofMillis(1500);
    private static final Span ANSWER_SLACK = Span.ofMillis(50);
    /** More than the release time of 300 ms and a round of the module. */
    private static final Span TIME_STEP = Span.ofMillis(350);

    private static final Span PROCESS_END_DELAY = Span.ofMillis(1000);
    private static final Span TIMER_TICK = Span.ofMillis(25);
    private static final long SWITCH_ID = 101;

    record Scenario(int offers, int circuits, boolean connectedAtStart) {}

    private final Scenario scenario;
    private final InjectedFault injectedFault;
    private final TimerWheel wheel = new TimerWheel(new Moment(0));
    private final ContactTable contactTable;
    private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
    private final ArrayDeque<OutgoingMessage> outgoingMessages = new ArrayDeque<>();
    private final Set<String> waitingCallers = new LinkedHashSet<>();
    private final Map<String, CallerCancellation> cancellationsByTag = new LinkedHashMap<>();
    private final Set<String> startsAtSwitch = new LinkedHashSet<>();
    private final Set<String> establishedContacts = new LinkedHashSet<>();
    private final Set<String> usedEvents = new LinkedHashSet<>();
    private long switchConnectionId = 40;
    private boolean isConnected;
    private boolean isWriterHeld;
    private boolean isDecisionThreadHeld;
    private boolean acceptsNewContacts = true;
    private int offeredCount;

    WriteQueueModel(Scenario scenario, InjectedFault injectedFault) {
        super(
                new RuleChecker(Span.ZERO, Span.ofMillis(300), Span.ofMillis(10_000)),
                "switch-over",
                "process-over",
                "unsure");
        this.scenario = scenario;
        this.injectedFault = injectedFault;
        isConnected = scenario.connectedAtStart;
        contactTable = new ContactTable(
                wheel,
                new ContactSettings(List.of("cheap", "dear"), 100, Span.ofMillis(9000), Span.ofMillis(20)),
                this);
        contactTable.setController(new RoutingPolicy(ContactTableModel.settings(), 7, wheel.now(), contactTable));
        notifySwitchList(SwitchEntry.State.READY);
        contactTable.loadReported(SWITCH_ID, new float[] {scenario.circuits, scenario.circuits, -1});
    }

    private void notifySwitchList(SwitchEntry.State state) {
        contactTable.notifyController(controller -> controller.switchListReceived(
                wheel.now(),
                ListKind.CHANGES,
                List.of(
                        new SwitchEntry(100, 0, SwitchEntry.State.READY, null, 0),
                        new SwitchEntry(SWITCH_ID, 1, state, null, 0))));
    }

    @Override
    public List<Event> enabledEvents() {
        List<Event> events = new ArrayList<>();
        if (isDecisionThreadHeld) {
            events.add(eventThenSettle("decision thread resumes", () -> isDecisionThreadHeld = false));
        }
        if (isWriterHeld) {
            events.add(eventThenSettle("writer resumes", () -> isWriterHeld = false));
        }
        if (!isConnected) {
            events.add(eventThenSettle("connection up", () -> isConnected = true));
            addOnce(events, "connection never up", () -> loseConnection(false));
        }
        // A decision thread that is held does not advance its timer wheel either, so nothing that waits there is late.
        if (!isDecisionThreadHeld
                && (!waitingCallers.isEmpty()
                        || !startsAtSwitch.isEmpty()
                        || !outgoingMessages.isEmpty()
                        || contactTable.unacknowledgedReleaseCount() > 0
                        || !contactTable.knownTags().isEmpty() && establishedContacts.isEmpty())) {
            events.add(eventThenSettle("time", this::advanceTime));
        }
        if (offeredCount < scenario.offers) {
            events.add(eventThenSettle("offer", this::offer));
        }
        for (String tag : List.copyOf(waitingCallers)) {
            addOnce(events, "cancel " + tag, () -> cancel(tag));
            addOnce(events, "connection ended " + tag, () -> endCallerConnection(tag));
        }
        for (String tag : List.copyOf(startsAtSwitch)) {
            events.add(eventThenSettle("answer " + tag, () -> answerRing(tag)));
            addOnce(
                    events,
                    "answer without description " + tag,
                    () -> inbox.add(() -> contactTable.started(SWITCH_ID, switchConnectionId, tag, null)));
            addOnce(events, "full " + tag, () -> endContact(tag, 34, false));
        }
        for (String tag : List.copyOf(establishedContacts)) {
            addOnce(
                    events,
                    "second answer " + tag,
                    () -> inbox.add(() -> contactTable.started(SWITCH_ID, switchConnectionId, tag, "c=second")));
            events.add(eventThenSettle("release " + tag, () -> endContact(tag, 16, false)));
        }
        if (isConnected && (!outgoingMessages.isEmpty() || !startsAtSwitch.isEmpty())) {
            addOnce(events, "reset", () -> loseConnection(true));
        }
        addOnce(events, "writer held", () -> isWriterHeld = true);
        addOnce(events, "decision thread held", () -> isDecisionThreadHeld = true);
        if (offeredCount > 0) {
            addOnce(events, "drain", () -> inbox.add(this::drain));
            addOnce(events, "remove", () -> inbox.add(this::remove));
            addOnce(events, "shutdown", () -> inbox.add(contactTable::refuseNewContacts));
        }
        return events;
    }

    private void addOnce(List<Event> events, String name, Runnable action) {
        if (!usedEvents.contains(name)) {
            events.add(eventThenSettle(name, () -> {
                usedEvents.add(name);
                action.run();
            }));
        }
    }

    /** An event that is followed by everything that is not held. */
    private Event eventThenSettle(String name, Runnable action) {
        return new Event(name, () -> {
            action.run();
            runUntilBlocked();
        });
    }

    private void runUntilBlocked() {
        while (!isDecisionThreadHeld && !inbox.isEmpty()
                || !isWriterHeld && isConnected && !outgoingMessages.isEmpty()) {
            if (!isDecisionThreadHeld && !inbox.isEmpty()) {
                inbox.poll().run();
            } else {
                OutgoingMessage next = outgoingMessages.poll();
                next.bytes();
                next.completed();
            }
        }
    }

    @Override
    public void checkQuiescent() {
        if (!contactTable.knownTags().isEmpty()
                || contactTable.openCount() != 0
                || contactTable.establishedCount() != 0
                || !inbox.isEmpty()) {
            rules.addViolation(
                    "kept",
                    "left over: " + contactTable.knownTags() + " " + contactTable.openCount() + " "
                            + contactTable.establishedCount());
        }
        if (!startsAtSwitch.isEmpty()) {
            rules.addViolation("kept", "still held at the switch: " + startsAtSwitch);
        }
    }

    private void advanceTime() {
        for (Moment stepEnd = wheel.now().plus(TIME_STEP); wheel.now().before(stepEnd); runUntilBlocked()) {
            wheel.advanceTo(wheel.now().plus(TIMER_TICK));
            rules.checkDeadlines(wheel.now());
        }
    }

    private void offer() {
        int contactNumber = ++offeredCount;
        String tag = ContactTableHarness.tag(contactNumber);
        CallerCancellation cancellation = new CallerCancellation();
        waitingCallers.add(tag);
        cancellationsByTag.put(tag, cancellation);
        rules.contactTaken(tag, wheel.now().plus(PATIENCE).plus(ANSWER_SLACK));
        SetUpRequest request = new SetUpRequest(
                contactNumber,
                ContactTableHarness.request("INVITE", contactNumber),
                tag,
                "00000000000000aa",
                contactNumber % 2,
                wheel.now(),
                PATIENCE,
                1,
                -1,
                1,
                false,
                false,
                null,
                "v=0",
                cancellation);
        inbox.add(() -> contactTable.setUpReceived(request));
    }

    private void callerLeaves(String tag) {
        waitingCallers.remove(tag);
        rules.callerGone(tag);
        cancellationsByTag.get(tag).cancel();
    }

    private void cancel(String tag) {
        callerLeaves(tag);
        int contactNumber = (int) Long.parseLong(tag, 16);
        inbox.add(
                () -> contactTable.cancelReceived(contactNumber, ContactTableHarness.request("CANCEL", contactNumber)));
    }

    private void endCallerConnection(String tag) {
        callerLeaves(tag);
        inbox.add(() -> contactTable.callerConnectionEnded(Long.parseLong(tag, 16)));
    }

    private void answerRing(String tag) {
        startsAtSwitch.remove(tag);
        rules.ringEnded(wheel.now(), tag, false);
        establishedContacts.add(tag);
        long connectionId = switchConnectionId;
        inbox.add(() -> contactTable.started(SWITCH_ID, connectionId, tag, "c=" + tag));
    }

    private void endContact(String tag, int q850Cause, boolean mayHoldCircuits) {
        if (startsAtSwitch.remove(tag)) {
            rules.ringEnded(wheel.now(), tag, mayHoldCircuits);
        }
        establishedContacts.remove(tag);
        long connectionId = switchConnectionId;
        inbox.add(() -> contactTable.ended(
                SWITCH_ID, connectionId, tag, q850Cause, q850Cause == 34 ? "no_circuit" : null, new float[0]));
    }

    /** The connection to the switch ends and another one is opened, which is up at once if the first one was. */
    private void loseConnection(boolean everUp) {
        long connectionId = switchConnectionId++;
        List<OutgoingMessage> lostMessages = List.copyOf(outgoingMessages);
        outgoingMessages.clear();
        startsAtSwitch.forEach(tag -> rules.ringEnded(wheel.now(), tag, true));
        startsAtSwitch.clear();
        lostMessages.forEach(OutgoingMessage::completed);
        inbox.add(() -> contactTable.switchConnectionEnded(SWITCH_ID, connectionId, everUp));
    }

    private void drain() {
        acceptsNewContacts = false;
        rules.setDraining(wheel.now(), "0", SWITCH_ID, true);
        notifySwitchList(SwitchEntry.State.DRAINING);
    }

    private void remove() {
        acceptsNewContacts = false;
        rules.setDraining(wheel.now(), "0", SWITCH_ID, true);
        notifySwitchList(SwitchEntry.State.GONE);
        // The process ends some time later; until then it may still send messages.
        wheel.scheduleAfter(PROCESS_END_DELAY, () -> {
            establishedContacts.clear();
            loseConnection(true);
            inbox.add(() -> contactTable.switchProcessEnded(SWITCH_ID));
        });
    }

    // ---- messages of the contact table

    @Override
    public QueuedMessage sendStart(long switchId, SwitchStartRequest start, Runnable notSent) {
        String tag = start.tag();
        boolean checksCancellation = injectedFault != InjectedFault.CANCELLATION_IGNORED;
        RevocableMessage message = new RevocableMessage(
                0,
                () -> {
                    boolean isDue = checksCancellation
                            ? start.isDue(wheel.now())
                            : start.remaining(wheel.now()).longerThan(Span.ZERO);
                    if (!isDue || !acceptsNewContacts && injectedFault != InjectedFault.DRAINING_IGNORED) {
                        return null;
                    }
                    rules.ringSent(wheel.now(), "0", tag, switchId);
                    startsAtSwitch.add(tag);
                    return new byte[0];
                },
                () -> inbox.add(notSent));
        if (injectedFault == InjectedFault.WRITTEN_AFTER_REVOCATION) {
            // Written even after it was revoked, a fault that the program once had: the revocation comes too late.
            outgoingMessages.add(OutgoingMessage.of(new byte[0], () -> {
                rules.ringSent(wheel.now(), "0", tag, switchId);
                startsAtSwitch.add(tag);
            }));
            message.bytes();
            return new QueuedMessage(switchConnectionId, message);
        }
        outgoingMessages.add(message);
        return new QueuedMessage(switchConnectionId, message);
    }

    @Override
    public void sendFinish(long switchId, long finishConnectionId, String tag, int q850Cause, Runnable written) {
        if (injectedFault == InjectedFault.FINISH_REPORTED_BEFORE_WRITE) {
            inbox.add(written);
        }
        Runnable finish = () -> {
            if (startsAtSwitch.remove(tag)) {
                rules.ringEnded(wheel.now(), tag, true);
            }
            establishedContacts.remove(tag);
        };
        outgoingMessages.add(new OutgoingMessage() {
            @Override
            public int size() {
                return 0;
            }

            @Override
            public byte[] bytes() {
                finish.run();
                return new byte[0];
            }

            @Override
            public void completed() {
                // The FINISH is lost with its connection; the switch then ends by itself the attempts started on it.
                finish.run();
                if (injectedFault != InjectedFault.FINISH_REPORTED_BEFORE_WRITE) {
                    inbox.add(written);
                }
            }
        });
    }

    @Override
    public boolean sendToCaller(long connectionId, byte[] encodedMessage) {
        var message = MessageParser.parseMinimal(encodedMessage, encodedMessage.length)
                .message();
        String tag = message.callId();
        if (message instanceof Request) {
            if (waitingCallers.contains(tag)) {
                rules.addViolation(1, tag + " was released before its answer");
            }
            inbox.add(() -> contactTable.releaseAnswered(1, tag, true));
            return true;
        }
        Response response = (Response) message;
        if (!response.headers().first("CSeq").endsWith("INVITE") || response.status() == 487) {
            return true;
        }
        if (cancellationsByTag.get(tag).isCancelled()) {
            // A refusal may cross the caller's leaving, and nobody waits for it; a 200 would hold a circuit for nobody.
            if (response.isSuccess()) {
                rules.addViolation("departed", tag + " was answered with 200 after its caller had left");
            }
            return true;
        }
        waitingCallers.remove(tag);
        rules.contactAnswered(wheel.now(), tag);
        if (response.isSuccess()) {
            if (!new String(response.body()).equals("c=" + tag)) {
                rules.addViolation(1, tag + " got a description that no switch made for it");
            }
            inbox.add(() -> contactTable.ackReceived(tag));
        }
        return true;
    }
}
