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
 * The very desk and module between a caller and two switches that hold to the platform's protocol. It says what may
 * come next; the rules are judged by what crosses the wire.
 */
final class ContactTableModel extends CheckedOutboundMessages implements InterleavingExplorer.Simulation {
    private static final Span PATIENCE = Span.ofMillis(1500);
    private static final Span SLACK = Span.ofMillis(50);
    private static final Span STEP = Span.ofMillis(60);
    private static final long LINK = 9;

    record Scenario(int offers, int circuits, int refusals, boolean cancels, boolean breaks, boolean dies) {}

    private final Scenario plan;
    private final TimerWheel wheel = new TimerWheel(new Moment(0));
    private final ContactTable desk;
    /** By tag: the switch where the ring is out, or where the contact stands. */
    private final Map<String, Long> ringing = new LinkedHashMap<>();

    private final Map<String, Long> standing = new LinkedHashMap<>();
    private final Map<String, Boolean> callers = new LinkedHashMap<>();
    private int offered;
    private int refused;
    private int cancelled;
    private int broken;
    private int died;

    /** {@code release} is what the rules hold the program to; the module is told 300 ms. */
    ContactTableModel(Scenario plan, Span release) {
        super(new RuleChecker(Span.ofMillis(2000), release, Span.ofMillis(10_000)), "switch-over");
        this.plan = plan;
        desk = new ContactTable(
                wheel,
                new ContactSettings(List.of("cheap", "dear"), 100, Span.ofMillis(9000), Span.ofMillis(20)),
                this);
        RoutingPolicy logic = new RoutingPolicy(settings(), 7, wheel.now(), desk);
        desk.setController(logic);
        List<SwitchEntry> lines = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            lines.add(new SwitchEntry(100 + number, number, SwitchEntry.State.READY, null, 0));
        }
        desk.notifyController(to -> to.switchListReceived(wheel.now(), ListKind.CACHED, lines));
        desk.loadReported(101, new float[] {plan.circuits, Math.max(1, plan.circuits), -1});
        desk.loadReported(102, new float[] {9, 9, -1});
    }

    static Map<String, String> settings() {
        Map<String, String> all = new LinkedHashMap<>();
        for (String one : ("classes.count=2 classes.0.worth=1 classes.1.worth=8 classes.0.aim-ns=1000000000 "
                        + "classes.1.aim-ns=1000000000 family-info.mean-hold-ns=10000000000,5000000000 family-info.widths=1,1 "
                        + "family-info.home-no=0 family-info.release-ns=300000000 guarantees.warm-within-ns=10000000000 "
                        + "guarantees.cold-share=0.3 policy-limits.send-cap=5 policy-limits.cancel=true "
                        + "report.fields=spare,total,cut_by round-ns=5000000")
                .split(" ")) {
            all.put(one.substring(0, one.indexOf('=')), one.substring(one.indexOf('=') + 1));
        }
        return all;
    }

    @Override
    public List<Event> enabledEvents() {
        List<Event> all = new ArrayList<>();
        if (!callers.isEmpty() || !ringing.isEmpty() || desk.unacknowledgedReleaseCount() > 0) {
            all.add(new Event("time", this::time));
        }
        if (offered < plan.offers) {
            all.add(new Event("offer", this::offer));
        }
        for (Map.Entry<String, Long> ring : List.copyOf(ringing.entrySet())) {
            String tag = ring.getKey();
            all.add(new Event("stands " + tag, () -> stands(tag, ring.getValue())));
            if (refused < plan.refusals) {
                all.add(new Event("full " + tag, () -> refuse(tag, ring.getValue(), 34)));
                all.add(new Event("reset " + tag, () -> refuse(tag, ring.getValue(), 41)));
            }
        }
        for (String tag : List.copyOf(callers.keySet())) {
            if (plan.cancels && cancelled < 1) {
                all.add(new Event("cancel " + tag, () -> cancel(tag)));
            }
        }
        for (Map.Entry<String, Long> one : List.copyOf(standing.entrySet())) {
            all.add(new Event("release " + one.getKey(), () -> released(one.getKey(), one.getValue())));
        }
        if (plan.breaks && broken < 1 && !ringing.isEmpty()) {
            all.add(new Event("break", this::breaks));
        }
        if (plan.dies && died < 1 && !standing.isEmpty()) {
            all.add(new Event("dies", this::dies));
        }
        return all;
    }

    @Override
    public void checkQuiescent() {
        if (!desk.known().isEmpty() || desk.openCount() != 0 || desk.establishedCount() != 0) {
            rules.addViolation(
                    "kept", "left over: " + desk.known() + " " + desk.openCount() + " " + desk.establishedCount());
        }
    }

    private void time() {
        Moment now = wheel.now().plus(STEP);
        wheel.advanceTo(now);
        rules.checkDeadlines(now);
    }

    private void offer() {
        int number = ++offered;
        String tag = ContactTableHarness.tag(number);
        callers.put(tag, true);
        rules.contactTaken(tag, wheel.now().plus(PATIENCE).plus(SLACK));
        desk.setUpReceived(new SetUpRequest(
                1,
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
                new CallerCancellation()));
    }

    private void stands(String tag, long target) {
        ringing.remove(tag);
        rules.ringEnded(wheel.now(), tag, false);
        standing.put(tag, target);
        desk.started(target, LINK, tag, "c=" + tag);
    }

    private void refuse(String tag, long target, int cause) {
        refused++;
        ringing.remove(tag);
        rules.ringEnded(wheel.now(), tag, cause == 41);
        desk.ended(target, LINK, tag, cause, cause == 34 ? "no_circuit" : null, new float[0]);
    }

    private void cancel(String tag) {
        cancelled++;
        callers.remove(tag);
        rules.callerGone(tag);
        Headers headers = new Headers();
        headers.add("Call-ID", tag).add("CSeq", "1 CANCEL");
        desk.cancelReceived(1, new Request("CANCEL", "sip:00000000000000aa@net", headers));
    }

    private void released(String tag, long target) {
        standing.remove(tag);
        desk.ended(target, LINK, tag, 16, null, new float[0]);
    }

    private void breaks() {
        broken++;
        List<String> all = List.copyOf(ringing.keySet());
        all.forEach(tag -> rules.ringEnded(wheel.now(), tag, true));
        ringing.clear();
        desk.switchConnectionEnded(101, LINK, true);
    }

    private void dies() {
        died++;
        standing.values().removeIf(target -> target == 101);
        desk.switchProcessEnded(101, null);
    }

    @Override
    public boolean sendToCaller(long line, byte[] bytes) {
        var message = MessageParser.parseMinimal(bytes, bytes.length).message();
        String tag = message.callId();
        if (message instanceof Request) {
            if (callers.containsKey(tag)) {
                rules.addViolation(1, tag + " was released before its answer");
            }
            desk.notifyController(to -> desk.releaseAcknowledged(tag));
            return true;
        }
        Response answer = (Response) message;
        if (!answer.headers().first("CSeq").endsWith("INVITE") || answer.status() == 487) {
            return true;
        }
        callers.remove(tag);
        rules.contactAnswered(wheel.now(), tag);
        if (answer.isSuccess()) {
            if (!new String(answer.body()).equals("c=" + tag) || !standing.containsKey(tag)) {
                rules.addViolation(1, tag + " was served with what no switch made for it");
            }
            // The caller's own acknowledgement comes after the desk is done with this.
            desk.notifyController(to -> desk.ackReceived(tag));
        }
        return true;
    }

    @Override
    public QueuedMessage sendStart(long target, SwitchStartRequest start, Runnable unsent) {
        rules.ringSent(wheel.now(), "0", start.tag(), target);
        ringing.put(start.tag(), target);
        RevocableMessage message = new RevocableMessage(0, () -> new byte[0], unsent);
        message.bytes();
        return new QueuedMessage(LINK, message);
    }

    @Override
    public void sendFinish(long target, long connection, String tag, int cause, Runnable written) {
        if (ringing.remove(tag) != null) {
            rules.ringEnded(wheel.now(), tag, true);
        }
        standing.remove(tag);
        written.run();
    }
}
