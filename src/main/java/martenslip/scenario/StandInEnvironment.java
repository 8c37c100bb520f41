package martenslip.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReferenceArray;
import martenslip.configuration.Skill;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.sip.transport.Hop;
import martenslip.standin.CaptureWriter;
import martenslip.standin.DirectoryService;
import martenslip.standin.ProcessorModel;
import martenslip.standin.SimulatedCallers;
import martenslip.standin.SimulatedNetwork;
import martenslip.standin.SimulatedSwitch;
import martenslip.standin.TrunkGroups;

/** All stand-ins of a day in this process, and the verbs that its troubles use. */
final class StandInEnvironment implements AutoCloseable {
    private final Day day;
    private final TrafficPlan plan;
    private final ControllerProcesses controllers;
    private final CaptureWriter capture;
    private final SimulatedNetwork network;
    private final TrunkGroups trunks = new TrunkGroups();
    private final DirectoryService office;
    private final SimulatedCallers callers;
    private final AtomicReferenceArray<SimulatedSwitch> machines;
    private final AtomicReferenceArray<SimulatedNetwork.NetworkLink> wires;
    private final List<SimulatedSwitch> replaced = new CopyOnWriteArrayList<>();
    private final AtomicInteger built = new AtomicInteger();
    private final martenslip.configuration.PrefixTable numbering = new martenslip.configuration.PrefixTable();

    StandInEnvironment(Day day, TrafficPlan plan, ControllerProcesses controllers, Path captureFile)
            throws IOException {
        this.day = day;
        this.plan = plan;
        this.controllers = controllers;
        capture = new CaptureWriter(captureFile);
        network = new SimulatedNetwork(capture, day.seed() ^ 0x9e3779b9L, day.same(), day.cross());
        machines = new AtomicReferenceArray<>(day.exchanges());
        wires = new AtomicReferenceArray<>(day.exchanges());
        plan.groups().forEach(group -> trunks.addGroup(group.name(), group.a(), group.b(), group.circuits()));
        for (int i = 0; i < day.exchanges(); i++) {
            numbering.add(controllers.prefix(i), i);
            network.assignRegion(ControllerProcesses.host(i), regionOf(i));
        }
        office = new DirectoryService(
                network.createLink("office", -1), trunks, day.regions(), day.exchanges(), Span.ZERO);
        office.open(address(3, 1));
        Day.Traffic traffic = day.traffic();
        callers = new SimulatedCallers(
                new SimulatedCallers.CallerBehavior(
                        traffic.rate(),
                        day.skills(),
                        day.shares(),
                        traffic.redials(),
                        traffic.redialAfter(),
                        traffic.tryPart(),
                        traffic.comeAgain(),
                        traffic.driftEvery(),
                        traffic.drift(),
                        traffic.prefix()),
                plan.weights(),
                this::machineHop,
                martenslip.sip.transport.MessageInterceptor.PASS_THROUGH,
                day.seed() + 5);
        callers.open(address(4, 1));
        rules();
    }

    private void rules() {
        capture.annotation(
                "rules",
                "release-ms=" + day.rules().text("release-ms") + " drain-grace-ms="
                        + day.rules().text("drain-grace-ms") + " fall-multiple="
                        + day.rules().text("fall-multiple")
                        + " fall-ms=" + day.rules().text("fall-ms"));
    }

    private static InetAddress address(int third, int fourth) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, (byte) third, (byte) fourth});
    }

    int regionOf(int exchange) {
        return exchange % day.regions().size();
    }

    InetSocketAddress officeAt() throws IOException {
        return new InetSocketAddress(address(3, 1), office.port(Hop.Protocol.UDP));
    }

    private Hop.Protocol kind(int exchange) {
        return day.overTcp().contains(exchange) ? Hop.Protocol.TCP : Hop.Protocol.UDP;
    }

    private Hop machineHop(int exchange) {
        return Hop.udp(machines.get(exchange).address(Hop.Protocol.UDP));
    }

    /** Builds a machine for the exchange and puts it in its place; one that was there is returned. */
    SimulatedSwitch build(int exchange, boolean cold) throws IOException {
        int number = built.incrementAndGet();
        Map<String, Integer> widths = new HashMap<>();
        for (Skill skill : day.skills()) {
            widths.put(skill.priority(), skill.width());
        }
        Day.SwitchSettings switches = day.switches();
        ProcessorModel.Settings processor = new ProcessorModel.Settings(
                plan.unit(),
                switches.mostWait(),
                switches.coldFrom(),
                switches.warm(),
                day.rules().decimal("fall-multiple"),
                day.rules().milliseconds("fall-ms"));
        SimulatedSwitch.Settings make = new SimulatedSwitch.Settings(
                exchange,
                regionOf(exchange),
                processor,
                switches.reportEvery(),
                switches.noise(),
                numbering,
                widths,
                day.seed() * 31 + number,
                day.reports().text("fields").contains("allowed"));
        SimulatedNetwork.NetworkLink wire = network.createLink("switch-" + exchange + "-" + number, regionOf(exchange));
        SimulatedSwitch machine = new SimulatedSwitch(make, trunks, wire, controllers.hop(exchange), cold);
        machine.open(address(2, number));
        InetSocketAddress at = machine.address(kind(exchange));
        capture.annotation(
                "machine",
                "local=switch-" + exchange + "-" + number + " number=" + exchange + " at="
                        + at.getAddress().getHostAddress() + ":" + at.getPort());
        SimulatedSwitch before = machines.getAndSet(exchange, machine);
        wires.set(exchange, wire);
        if (cold) {
            coldFact(exchange);
        }
        return before;
    }

    private void coldFact(int exchange) {
        SimulatedSwitch machine = machines.get(exchange);
        InetSocketAddress at = machine.address(kind(exchange));
        capture.annotation(
                "cold",
                "at=" + at.getAddress().getHostAddress() + ":" + at.getPort() + " capacity="
                        + machine.capacity() + " from=" + day.switches().coldFrom() + " warm-ms="
                        + day.switches().warm().ns() / 1e6);
    }

    void list(int exchange, SimulatedSwitch machine, SwitchEntry.State state, boolean started, Span further) {
        office.publishChange(
                exchange,
                regionOf(exchange),
                machine.address(kind(exchange)),
                kind(exchange),
                state,
                started ? new Moment(System.nanoTime()) : null,
                further);
    }

    void controllerUp(int exchange) throws IOException {
        capture.annotation(
                "controller",
                "number=" + exchange + " host="
                        + ControllerProcesses.host(exchange).getHostAddress() + " state=up");
    }

    /** The controller has been killed: what it held goes with it. */
    void controllerKilled(int exchange) throws IOException {
        InetAddress host = ControllerProcesses.host(exchange);
        capture.annotation("controller", "number=" + exchange + " host=" + host.getHostAddress() + " state=killed");
        for (int i = 0; i < day.exchanges(); i++) {
            machines.get(i).controllerFailed(host, callers::sessionsLost);
        }
    }

    void drain(int exchange) throws IOException {
        SimulatedSwitch before = build(exchange, true);
        replaced.add(before);
        list(exchange, before, SwitchEntry.State.DRAINING, false, Span.ZERO);
        list(exchange, machines.get(exchange), SwitchEntry.State.READY, true, Span.ZERO);
    }

    void drained(int exchange) {
        for (SimulatedSwitch machine : replaced) {
            if (machine.number() == exchange) {
                list(exchange, machine, SwitchEntry.State.GONE, false, Span.ZERO);
            }
        }
    }

    void down(int exchange) {
        wires.get(exchange).setSilent(true);
        machines.get(exchange).restart(callers::sessionsLost);
        list(exchange, machines.get(exchange), SwitchEntry.State.GONE, false, day.silentLag());
    }

    void upCold(int exchange) {
        machines.get(exchange).restart(callers::sessionsLost);
        wires.get(exchange).setSilent(false);
        coldFact(exchange);
        list(exchange, machines.get(exchange), SwitchEntry.State.READY, true, Span.ZERO);
    }

    void circuits(int region, double part) {
        for (String name : trunks.groupsMatching((a, b) -> (regionOf(a) == region) != (regionOf(b) == region))) {
            callers.sessionsLost(trunks.reduceCircuits(name, part));
        }
    }

    void fact(String kind, String words) {
        capture.annotation(kind, words);
    }

    SimulatedCallers callers() {
        return callers;
    }

    SimulatedNetwork network() {
        return network;
    }

    DirectoryService office() {
        return office;
    }

    TrunkGroups trunks() {
        return trunks;
    }

    SimulatedSwitch machine(int exchange) {
        return machines.get(exchange);
    }

    /** How long work waits at each switch, for the line of progress. */
    String waits() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < day.exchanges(); i++) {
            text.append(' ').append(machines.get(i).queueWaitMs());
        }
        return text.toString();
    }

    /** Switches that were pushed over. */
    List<Integer> fallen() {
        List<Integer> fallen = new ArrayList<>();
        for (int i = 0; i < day.exchanges(); i++) {
            if (machines.get(i).overloaded()) {
                fallen.add(i);
            }
        }
        return fallen;
    }

    @Override
    public void close() throws IOException {
        callers.close();
        office.close();
        for (int i = 0; i < day.exchanges(); i++) {
            if (machines.get(i) != null) {
                machines.get(i).close();
            }
        }
        replaced.forEach(SimulatedSwitch::close);
        network.close();
        capture.close();
    }
}
