package martenslip.play;

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
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchLine;
import martenslip.provision.Skill;
import martenslip.sip.transport.Hop;
import martenslip.standin.Callers;
import martenslip.standin.Capture;
import martenslip.standin.Machine;
import martenslip.standin.Network;
import martenslip.standin.Office;
import martenslip.standin.Processor;
import martenslip.standin.Trunks;

/** All stand-ins of a day in this process, and the verbs that its troubles use. */
final class World implements AutoCloseable {
    private final Day day;
    private final Plan plan;
    private final Controllers controllers;
    private final Capture capture;
    private final Network network;
    private final Trunks trunks = new Trunks();
    private final Office office;
    private final Callers callers;
    private final AtomicReferenceArray<Machine> machines;
    private final AtomicReferenceArray<Network.Wire> wires;
    private final List<Machine> replaced = new CopyOnWriteArrayList<>();
    private final AtomicInteger built = new AtomicInteger();
    private final martenslip.provision.Prefixes numbering = new martenslip.provision.Prefixes();

    World(Day day, Plan plan, Controllers controllers, Path captureFile) throws IOException {
        this.day = day;
        this.plan = plan;
        this.controllers = controllers;
        capture = new Capture(captureFile);
        network = new Network(capture, day.seed() ^ 0x9e3779b9L, day.same(), day.cross());
        machines = new AtomicReferenceArray<>(day.exchanges());
        wires = new AtomicReferenceArray<>(day.exchanges());
        plan.groups().forEach(group -> trunks.add(group.name(), group.a(), group.b(), group.circuits()));
        for (int i = 0; i < day.exchanges(); i++) {
            numbering.add(controllers.prefix(i), i);
            network.place(Controllers.host(i), regionOf(i));
        }
        office = new Office(network.wire("office", -1), trunks, day.regions(), day.exchanges(), Span.ZERO);
        office.open(address(3, 1));
        Day.Traffic traffic = day.traffic();
        callers = new Callers(
                new Callers.Ways(
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
                martenslip.sip.transport.Gate.OPEN,
                day.seed() + 5);
        callers.open(address(4, 1));
        rules();
    }

    private void rules() {
        capture.fact(
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
        return new InetSocketAddress(address(3, 1), office.port(Hop.Kind.UDP));
    }

    private Hop.Kind kind(int exchange) {
        return day.overTcp().contains(exchange) ? Hop.Kind.TCP : Hop.Kind.UDP;
    }

    private Hop machineHop(int exchange) {
        return Hop.udp(machines.get(exchange).at(Hop.Kind.UDP));
    }

    /** Builds a machine for the exchange and puts it in its place; one that was there is returned. */
    Machine build(int exchange, boolean cold) throws IOException {
        int number = built.incrementAndGet();
        Map<String, Integer> widths = new HashMap<>();
        for (Skill skill : day.skills()) {
            widths.put(skill.priority(), skill.width());
        }
        Day.Switches switches = day.switches();
        Processor.Make processor = new Processor.Make(
                plan.unit(),
                switches.mostWait(),
                switches.coldFrom(),
                switches.warm(),
                day.rules().decimal("fall-multiple"),
                day.rules().ms("fall-ms"));
        Machine.Make make = new Machine.Make(
                exchange,
                regionOf(exchange),
                processor,
                switches.reportEvery(),
                switches.noise(),
                numbering,
                widths,
                day.seed() * 31 + number,
                day.reports().text("fields").contains("allowed"));
        Network.Wire wire = network.wire("switch-" + exchange + "-" + number, regionOf(exchange));
        Machine machine = new Machine(make, trunks, wire, controllers.hop(exchange), cold);
        machine.open(address(2, number));
        InetSocketAddress at = machine.at(kind(exchange));
        capture.fact(
                "machine",
                "local=switch-" + exchange + "-" + number + " number=" + exchange + " at="
                        + at.getAddress().getHostAddress() + ":" + at.getPort());
        Machine before = machines.getAndSet(exchange, machine);
        wires.set(exchange, wire);
        if (cold) {
            coldFact(exchange);
        }
        return before;
    }

    private void coldFact(int exchange) {
        Machine machine = machines.get(exchange);
        InetSocketAddress at = machine.at(kind(exchange));
        capture.fact(
                "cold",
                "at=" + at.getAddress().getHostAddress() + ":" + at.getPort() + " capacity="
                        + machine.capacity() + " from=" + day.switches().coldFrom() + " warm-ms="
                        + day.switches().warm().ns() / 1e6);
    }

    void list(int exchange, Machine machine, SwitchLine.State state, boolean started, Span further) {
        office.change(
                exchange,
                regionOf(exchange),
                machine.at(kind(exchange)),
                kind(exchange),
                state,
                started ? new Moment(System.nanoTime()) : null,
                further);
    }

    void controllerUp(int exchange) throws IOException {
        capture.fact(
                "controller",
                "number=" + exchange + " host=" + Controllers.host(exchange).getHostAddress() + " state=up");
    }

    /** The controller has been killed: what it held goes with it. */
    void controllerKilled(int exchange) throws IOException {
        InetAddress host = Controllers.host(exchange);
        capture.fact("controller", "number=" + exchange + " host=" + host.getHostAddress() + " state=killed");
        for (int i = 0; i < day.exchanges(); i++) {
            machines.get(i).controllerDied(host, callers::cut);
        }
    }

    void drain(int exchange) throws IOException {
        Machine before = build(exchange, true);
        replaced.add(before);
        list(exchange, before, SwitchLine.State.DRAINING, false, Span.ZERO);
        list(exchange, machines.get(exchange), SwitchLine.State.READY, true, Span.ZERO);
    }

    void drained(int exchange) {
        for (Machine machine : replaced) {
            if (machine.number() == exchange) {
                list(exchange, machine, SwitchLine.State.GONE, false, Span.ZERO);
            }
        }
    }

    void down(int exchange) {
        wires.get(exchange).silent(true);
        machines.get(exchange).restart(callers::cut);
        list(exchange, machines.get(exchange), SwitchLine.State.GONE, false, day.silentLag());
    }

    void upCold(int exchange) {
        machines.get(exchange).restart(callers::cut);
        wires.get(exchange).silent(false);
        coldFact(exchange);
        list(exchange, machines.get(exchange), SwitchLine.State.READY, true, Span.ZERO);
    }

    void circuits(int region, double part) {
        for (String name : trunks.between((a, b) -> (regionOf(a) == region) != (regionOf(b) == region))) {
            callers.cut(trunks.keep(name, part));
        }
    }

    void fact(String kind, String words) {
        capture.fact(kind, words);
    }

    Callers callers() {
        return callers;
    }

    Network network() {
        return network;
    }

    Office office() {
        return office;
    }

    Trunks trunks() {
        return trunks;
    }

    Machine machine(int exchange) {
        return machines.get(exchange);
    }

    /** How long work waits at each switch, for the line of progress. */
    String waits() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < day.exchanges(); i++) {
            text.append(' ').append(machines.get(i).waitMs());
        }
        return text.toString();
    }

    /** Switches that were pushed over. */
    List<Integer> fallen() {
        List<Integer> fallen = new ArrayList<>();
        for (int i = 0; i < day.exchanges(); i++) {
            if (machines.get(i).fallen()) {
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
        replaced.forEach(Machine::close);
        network.close();
        capture.close();
    }
}
