package martenslip.platform.contact;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.InterleavingExplorer;
import martenslip.InterleavingExplorer.Event;
import martenslip.RoutingPolicy;
import martenslip.RuleChecker;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.Headers;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.QueuedMessage;
import martenslip.sip.transport.RevocableMessage;

/**
 * The contact table and the real routing module between a caller and two switches that follow the platform's protocol.
 * The model lists the events that may come next; the rules are checked on the messages that are sent.
 */
final class ContactTableModel extends CheckedOutboundMessages implements InterleavingExplorer.Simulation {
    private static final Span PATIENCE = Span.ofMillis(1500);
    private static final Span ANSWER_SLACK = Span.ofMillis(50);
    private static final Span TIME_STEP = Span.ofMillis(60);
    private static final long SWITCH_CONNECTION_ID = 9;

    record Scenario(
            int offers,
            int circuits,
            int refusals,
            boolean callerCancels,
            boolean connectionBreaks,
            boolean processEnds) {}

    private final Scenario scenario;
    private final TimerWheel wheel = new TimerWheel(new Moment(0));
    private final ContactTable contactTable;
    /** By tag: the switch where the ring is in flight, or where the contact is established. */
    private final Map<String, Long> ringsInFlight = new LinkedHashMap<>();

    private final Map<String, Long> establishedContacts = new LinkedHashMap<>();
    private final Map<String, Boolean> waitingCallers = new LinkedHashMap<>();
    private int offeredCount;
    private int refusedCount;
    private int cancelledCount;
    private int brokenConnectionCount;
    private int endedProcessCount;

    /** {@code releaseTime} is the one that the rules require; the module is given 300 ms. */
    ContactTableModel(Scenario scenario, Span releaseTime) {
        super(new RuleChecker(Span.ofMillis(2000), releaseTime, Span.ofMillis(10_000)), "switch-over", "process-over");
        this.scenario = scenario;
        contactTable = new ContactTable(
                wheel,
                new ContactSettings(List.of("cheap", "dear"), 100, Span.ofMillis(9000), Span.ofMillis(20)),
                this);
        RoutingPolicy routingPolicy = new RoutingPolicy(settings(), 7, wheel.now(), contactTable);
        contactTable.setController(routingPolicy);
        List<SwitchEntry> entries = new ArrayList<>();
        for (int exchangeNumber = 0; exchangeNumber < 3; exchangeNumber++) {
            entries.add(new SwitchEntry(100 + exchangeNumber, exchangeNumber, SwitchEntry.State.READY, null, 0));
        }
        contactTable.notifyController(
                controller -> controller.switchListReceived(wheel.now(), ListKind.CACHED, entries));
        contactTable.loadReported(101, new float[] {scenario.circuits, Math.max(1, scenario.circuits), -1});
        contactTable.loadReported(102, new float[] {9, 9, -1});
    }

    static Map<String, String> settings() {
        Map<String, String> settings = new LinkedHashMap<>();
        for (String setting : ("classes.count=2 classes.0.worth=1 classes.1.worth=8 classes.0.aim-ns=1000000000 "
                        + "classes.1.aim-ns=1000000000 family-info.mean-hold-ns=10000000000,5000000000 family-info.widths=1,1 "
                        + "family-info.home-no=0 family-info.release-ns=300000000 guarantees.warm-within-ns=10000000000 "
                        + "guarantees.cold-share=0.3 policy-limits.send-cap=5 policy-limits.cancel=true "
                        + "report.fields=spare,total,cut_by round-ns=5000000")
                .split(" ")) {
            settings.put(setting.substring(0, setting.indexOf('=')), setting.substring(setting.indexOf('=') + 1));
        }
        return settings;
    }

    @Override
    public List<Event> enabledEvents() {
        List<Event> events = new ArrayList<>();
        if (!waitingCallers.isEmpty() || !ringsInFlight.isEmpty() || contactTable.unacknowledgedReleaseCount() > 0) {
            events.add(new Event("time", this::advanceTime));
        }
        if (offeredCount < scenario.offers) {
            events.add(new Event("offer", this::offer));
        }
        for (Map.Entry<String, Long> ring : List.copyOf(ringsInFlight.entrySet())) {
            String tag = ring.getKey();
            events.add(new Event("established " + tag, () -> establish(tag, ring.getValue())));
            if (refusedCount < scenario.refusals) {
                events.add(new Event("full " + tag, () -> refuseRing(tag, ring.getValue(), 34)));
                events.add(new Event("reset " + tag, () -> refuseRing(tag, ring.getValue(), 41)));
            }
        }
        for (String tag : List.copyOf(waitingCallers.keySet())) {
            if (scenario.callerCancels && cancelledCount < 1) {
                events.add(new Event("cancel " + tag, () -> cancel(tag)));
            }
        }
        for (Map.Entry<String, Long> contact : List.copyOf(establishedContacts.entrySet())) {
            events.add(new Event("release " + contact.getKey(), () -> release(contact.getKey(), contact.getValue())));
        }
        if (scenario.connectionBreaks && brokenConnectionCount < 1 && !ringsInFlight.isEmpty()) {
            events.add(new Event("connection breaks", this::breakConnection));
        }
        if (scenario.processEnds && endedProcessCount < 1 && !establishedContacts.isEmpty()) {
            events.add(new Event("process ends", this::endProcess));
        }
        return events;
    }

    @Override
    public void checkQuiescent() {
        if (!contactTable.knownTags().isEmpty()
                || contactTable.openCount() != 0
                || contactTable.establishedCount() != 0) {
            rules.addViolation(
                    "kept",
                    "left over: " + contactTable.knownTags() + " " + contactTable.openCount() + " "
                            + contactTable.establishedCount());
        }
    }

    private void advanceTime() {
        Moment now = wheel.now().plus(TIME_STEP);
        wheel.advanceTo(now);
        rules.checkDeadlines(now);
    }

    private void offer() {
        int contactNumber = ++offeredCount;
        String tag = ContactTableHarness.tag(contactNumber);
        waitingCallers.put(tag, true);
        rules.contactTaken(tag, wheel.now().plus(PATIENCE).plus(ANSWER_SLACK));
        contactTable.setUpReceived(new SetUpRequest(
                1,
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
                new CallerCancellation()));
    }

    private void establish(String tag, long switchId) {
        ringsInFlight.remove(tag);
        rules.ringEnded(wheel.now(), tag, false);
        establishedContacts.put(tag, switchId);
        contactTable.started(switchId, SWITCH_CONNECTION_ID, tag, "c=" + tag);
    }

    private void refuseRing(String tag, long switchId, int q850Cause) {
        refusedCount++;
        ringsInFlight.remove(tag);
        rules.ringEnded(wheel.now(), tag, q850Cause == 41);
        contactTable.ended(
                switchId, SWITCH_CONNECTION_ID, tag, q850Cause, q850Cause == 34 ? "no_circuit" : null, new float[0]);
    }

    private void cancel(String tag) {
        cancelledCount++;
        waitingCallers.remove(tag);
        rules.callerGone(tag);
        Headers headers = new Headers();
        headers.add("Call-ID", tag).add("CSeq", "1 CANCEL");
        contactTable.cancelReceived(1, new Request("CANCEL", "sip:00000000000000aa@net", headers));
    }

    private void release(String tag, long switchId) {
        establishedContacts.remove(tag);
        contactTable.ended(switchId, SWITCH_CONNECTION_ID, tag, 16, null, new float[0]);
    }

    private void breakConnection() {
        brokenConnectionCount++;
        List<String> tags = List.copyOf(ringsInFlight.keySet());
        tags.forEach(tag -> rules.ringEnded(wheel.now(), tag, true));
        ringsInFlight.clear();
        contactTable.switchConnectionEnded(101, SWITCH_CONNECTION_ID, true);
    }

    private void endProcess() {
        endedProcessCount++;
        establishedContacts.values().removeIf(switchId -> switchId == 101);
        contactTable.switchProcessEnded(101);
    }

    @Override
    public boolean sendToCaller(long connectionId, byte[] encodedMessage) {
        var message = MessageParser.parseMinimal(encodedMessage, encodedMessage.length)
                .message();
        String tag = message.callId();
        if (message instanceof Request) {
            if (waitingCallers.containsKey(tag)) {
                rules.addViolation(1, tag + " was released before its answer");
            }
            contactTable.notifyController(controller -> contactTable.releaseAnswered(1, tag, true));
            return true;
        }
        Response response = (Response) message;
        if (!response.headers().first("CSeq").endsWith("INVITE") || response.status() == 487) {
            return true;
        }
        waitingCallers.remove(tag);
        rules.contactAnswered(wheel.now(), tag);
        if (response.isSuccess()) {
            if (!new String(response.body()).equals("c=" + tag) || !establishedContacts.containsKey(tag)) {
                rules.addViolation(1, tag + " got a description that no switch made for it");
            }
            // The caller's ACK arrives after the table has finished this event.
            contactTable.notifyController(controller -> contactTable.ackReceived(tag));
        }
        return true;
    }

    @Override
    public QueuedMessage sendStart(long switchId, SwitchStartRequest start, Runnable unsent) {
        rules.ringSent(wheel.now(), "0", start.tag(), switchId);
        ringsInFlight.put(start.tag(), switchId);
        RevocableMessage message = new RevocableMessage(0, () -> new byte[0], unsent);
        message.bytes();
        return new QueuedMessage(SWITCH_CONNECTION_ID, message);
    }

    @Override
    public void sendFinish(long switchId, long switchConnectionId, String tag, int q850Cause, Runnable written) {
        if (ringsInFlight.remove(tag) != null) {
            rules.ringEnded(wheel.now(), tag, true);
        }
        establishedContacts.remove(tag);
        written.run();
    }
}
