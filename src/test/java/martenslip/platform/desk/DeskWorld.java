package martenslip.platform.desk;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.EveryOrder;
import martenslip.EveryOrder.Event;
import martenslip.FiveRules;
import martenslip.Logic;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Parser;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transport.Queued;
import martenslip.sip.transport.Revocable;
import martenslip.wheel.Wheel;

/**
 * The very desk and module between a caller and two switches that hold to the platform's protocol. It says what may
 * come next; the rules are judged by what crosses the wire.
 */
final class DeskWorld extends JudgedOutward implements EveryOrder.World {
    private static final Span PATIENCE = Span.ofMillis(1500);
    private static final Span SLACK = Span.ofMillis(50);
    private static final Span STEP = Span.ofMillis(60);
    private static final long LINK = 9;

    record Plan(int offers, int circuits, int refusals, boolean cancels, boolean breaks, boolean dies) {}

    private final Plan plan;
    private final Wheel wheel = new Wheel(new Moment(0));
    private final Desk desk;
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
    DeskWorld(Plan plan, Span release) {
        super(new FiveRules(Span.ofMillis(2000), release, Span.ofMillis(10_000)), "switch-over");
        this.plan = plan;
        desk = new Desk(wheel, new Terms(List.of("cheap", "dear"), 100, Span.ofMillis(9000), Span.ofMillis(20)), this);
        Logic logic = new Logic(settings(), 7, wheel.now(), desk);
        desk.module(logic);
        List<SwitchLine> lines = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            lines.add(new SwitchLine(100 + number, number, SwitchLine.State.READY, null, 0));
        }
        desk.tell(to -> to.listed(wheel.now(), ListKind.REMEMBERED, lines));
        desk.load(101, new float[] {plan.circuits, Math.max(1, plan.circuits), -1});
        desk.load(102, new float[] {9, 9, -1});
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
    public List<Event> enabled() {
        List<Event> all = new ArrayList<>();
        if (!callers.isEmpty() || !ringing.isEmpty() || desk.unheardReleases() > 0) {
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
    public void quiet() {
        if (!desk.known().isEmpty() || desk.open() != 0 || desk.standing() != 0) {
            rules.wrong("kept", "left over: " + desk.known() + " " + desk.open() + " " + desk.standing());
        }
    }

    private void time() {
        Moment now = wheel.now().plus(STEP);
        wheel.turn(now);
        rules.at(now);
    }

    private void offer() {
        int number = ++offered;
        String tag = TinyDesk.tag(number);
        callers.put(tag, true);
        rules.taken(tag, wheel.now().plus(PATIENCE).plus(SLACK));
        desk.setUp(new SetUp(
                1,
                TinyDesk.request("INVITE", number),
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
                new Withdrawal()));
    }

    private void stands(String tag, long target) {
        ringing.remove(tag);
        rules.ended(wheel.now(), tag, false);
        standing.put(tag, target);
        desk.started(target, LINK, tag, "c=" + tag);
    }

    private void refuse(String tag, long target, int cause) {
        refused++;
        ringing.remove(tag);
        rules.ended(wheel.now(), tag, cause == 41);
        desk.ended(target, LINK, tag, cause, cause == 34 ? "no_circuit" : null, new float[0]);
    }

    private void cancel(String tag) {
        cancelled++;
        callers.remove(tag);
        rules.gone(tag);
        Headers headers = new Headers();
        headers.add("Call-ID", tag).add("CSeq", "1 CANCEL");
        desk.withdrawn(1, new Request("CANCEL", "sip:00000000000000aa@net", headers));
    }

    private void released(String tag, long target) {
        standing.remove(tag);
        desk.ended(target, LINK, tag, 16, null, new float[0]);
    }

    private void breaks() {
        broken++;
        List<String> all = List.copyOf(ringing.keySet());
        all.forEach(tag -> rules.ended(wheel.now(), tag, true));
        ringing.clear();
        desk.connectionOver(101, LINK, true);
    }

    private void dies() {
        died++;
        standing.values().removeIf(target -> target == 101);
        desk.switchOver(101, null);
    }

    @Override
    public boolean toCaller(long line, byte[] bytes) {
        var message = Parser.lean(bytes, bytes.length).message();
        String tag = message.callId();
        if (message instanceof Request) {
            if (callers.containsKey(tag)) {
                rules.wrong(1, tag + " was released before its answer");
            }
            desk.tell(to -> desk.releaseHeard(tag));
            return true;
        }
        Response answer = (Response) message;
        if (!answer.headers().first("CSeq").endsWith("INVITE") || answer.status() == 487) {
            return true;
        }
        callers.remove(tag);
        rules.answered(wheel.now(), tag);
        if (answer.success()) {
            if (!new String(answer.body()).equals("c=" + tag) || !standing.containsKey(tag)) {
                rules.wrong(1, tag + " was served with what no switch made for it");
            }
            // The caller's own acknowledgement comes after the desk is done with this.
            desk.tell(to -> desk.acknowledged(tag));
        }
        return true;
    }

    @Override
    public Queued start(long target, Start start, Runnable unsent) {
        rules.ring(wheel.now(), "0", start.tag(), target);
        ringing.put(start.tag(), target);
        Revocable message = new Revocable(0, () -> new byte[0], unsent);
        message.bytes();
        return new Queued(LINK, message);
    }

    @Override
    public void finish(long target, long connection, String tag, int cause, Runnable written) {
        if (ringing.remove(tag) != null) {
            rules.ended(wheel.now(), tag, true);
        }
        standing.remove(tag);
        written.run();
    }
}
