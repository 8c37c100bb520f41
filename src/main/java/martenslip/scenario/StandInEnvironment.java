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

/** All stand-ins of a day in this process, with the operations that its faults use. */
final class StandInEnvironment implements AutoCloseable {
    private final Day day;
    private final TrafficPlan plan;
    private final ControllerProcesses controllers;
    private final CaptureWriter capture;
    private final SimulatedNetwork network;
    private final TrunkGroups trunks = new TrunkGroups();
    private final DirectoryService directory;
    private final SimulatedCallers callers;
    private final AtomicReferenceArray<SimulatedSwitch> switches;
    private final AtomicReferenceArray<SimulatedNetwork.NetworkLink> links;
    private final List<SimulatedSwitch> replacedSwitches = new CopyOnWriteArrayList<>();
    private final AtomicInteger builtCount = new AtomicInteger();
    private final martenslip.configuration.PrefixTable numbering = new martenslip.configuration.PrefixTable();

    StandInEnvironment(Day day, TrafficPlan plan, ControllerProcesses controllers, Path captureFile)
            throws IOException {
        this.day = day;
        this.plan = plan;
        this.controllers = controllers;
        capture = new CaptureWriter(captureFile);
        network =
                new SimulatedNetwork(capture, day.seed() ^ 0x9e3779b9L, day.sameRegionDelay(), day.crossRegionDelay());
        switches = new AtomicReferenceArray<>(day.exchanges());
        links = new AtomicReferenceArray<>(day.exchanges());
        plan.groups()
                .forEach(group ->
                        trunks.addGroup(group.name(), group.lowerExchange(), group.higherExchange(), group.circuits()));
        for (int i = 0; i < day.exchanges(); i++) {
            numbering.add(controllers.numberPrefix(i), i);
            network.assignRegion(ControllerProcesses.host(i), regionOf(i));
        }
        directory = new DirectoryService(
                network.createLink("office", -1), trunks, day.regions(), day.exchanges(), Span.ZERO);
        directory.open(loopbackAddress(3, 1));
        Day.Traffic traffic = day.traffic();
        callers = new SimulatedCallers(
                new SimulatedCallers.CallerBehavior(
                        traffic.contactsPerSecond(),
                        day.skills(),
                        day.shares(),
                        traffic.maxRedials(),
                        traffic.redialDelay(),
                        traffic.tryPatienceShare(),
                        traffic.cutRedialProbability(),
                        traffic.driftInterval(),
                        traffic.driftDeviation(),
                        traffic.numberPrefix()),
                plan.weights(),
                this::switchHop,
                martenslip.sip.transport.MessageInterceptor.PASS_THROUGH,
                day.seed() + 5);
        callers.open(loopbackAddress(4, 1));
        annotateRules();
    }

    private void annotateRules() {
        capture.annotation(
                "rules",
                "release-ms=" + day.rules().text("release-ms") + " drain-grace-ms="
                        + day.rules().text("drain-grace-ms") + " fall-multiple="
                        + day.rules().text("fall-multiple")
                        + " fall-ms=" + day.rules().text("fall-ms"));
    }

    private static InetAddress loopbackAddress(int third, int fourth) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, (byte) third, (byte) fourth});
    }

    int regionOf(int exchange) {
        return exchange % day.regions().size();
    }

    InetSocketAddress directoryAddress() throws IOException {
        return new InetSocketAddress(loopbackAddress(3, 1), directory.port(Hop.Protocol.UDP));
    }

    private Hop.Protocol protocol(int exchange) {
        return day.tcpExchanges().contains(exchange) ? Hop.Protocol.TCP : Hop.Protocol.UDP;
    }

    private Hop switchHop(int exchange) {
        return Hop.udp(switches.get(exchange).address(Hop.Protocol.UDP));
    }

    /** Builds a switch for the exchange and installs it; returns the one that it replaces, or null. */
    SimulatedSwitch buildSwitch(int exchange, boolean cold) throws IOException {
        int number = builtCount.incrementAndGet();
        Map<String, Integer> widths = new HashMap<>();
        for (Skill skill : day.skills()) {
            widths.put(skill.priority(), skill.width());
        }
        Day.SwitchSettings switchSettings = day.switches();
        ProcessorModel.Settings processor = new ProcessorModel.Settings(
                plan.setUpTime(),
                switchSettings.maxWait(),
                switchSettings.coldStartCapacity(),
                switchSettings.warmUpTime(),
                day.rules().decimal("fall-multiple"),
                day.rules().milliseconds("fall-ms"));
        SimulatedSwitch.Settings settings = new SimulatedSwitch.Settings(
                exchange,
                regionOf(exchange),
                processor,
                switchSettings.reportInterval(),
                switchSettings.reportNoise(),
                numbering,
                widths,
                day.seed() * 31 + number,
                day.reports().text("fields").contains("allowed"));
        SimulatedNetwork.NetworkLink link = network.createLink("switch-" + exchange + "-" + number, regionOf(exchange));
        SimulatedSwitch simulatedSwitch = new SimulatedSwitch(settings, trunks, link, controllers.hop(exchange), cold);
        simulatedSwitch.open(loopbackAddress(2, number));
        InetSocketAddress address = simulatedSwitch.address(protocol(exchange));
        capture.annotation(
                "machine",
                "local=switch-" + exchange + "-" + number + " number=" + exchange + " at="
                        + address.getAddress().getHostAddress() + ":" + address.getPort());
        SimulatedSwitch previous = switches.getAndSet(exchange, simulatedSwitch);
        links.set(exchange, link);
        if (cold) {
            annotateColdStart(exchange);
        }
        return previous;
    }

    private void annotateColdStart(int exchange) {
        SimulatedSwitch simulatedSwitch = switches.get(exchange);
        InetSocketAddress address = simulatedSwitch.address(protocol(exchange));
        capture.annotation(
                "cold",
                "at=" + address.getAddress().getHostAddress() + ":" + address.getPort() + " capacity="
                        + simulatedSwitch.capacity() + " from=" + day.switches().coldStartCapacity() + " warm-ms="
                        + day.switches().warmUpTime().ns() / 1e6);
    }

    void publishState(
            int exchange, SimulatedSwitch simulatedSwitch, SwitchEntry.State state, boolean started, Span extraDelay) {
        directory.publishChange(
                exchange,
                regionOf(exchange),
                simulatedSwitch.address(protocol(exchange)),
                protocol(exchange),
                state,
                started ? new Moment(System.nanoTime()) : null,
                extraDelay);
    }

    void controllerUp(int exchange) throws IOException {
        capture.annotation(
                "controller",
                "number=" + exchange + " host="
                        + ControllerProcesses.host(exchange).getHostAddress() + " state=up");
    }

    /** Annotates that the controller was killed and ends the sessions that went through it. */
    void controllerKilled(int exchange) throws IOException {
        InetAddress host = ControllerProcesses.host(exchange);
        capture.annotation("controller", "number=" + exchange + " host=" + host.getHostAddress() + " state=killed");
        for (int i = 0; i < day.exchanges(); i++) {
            switches.get(i).controllerFailed(host, callers::sessionsLost);
        }
    }

    /** Replaces the exchange's switch by a cold one and lists the replaced one as draining. */
    void drain(int exchange) throws IOException {
        SimulatedSwitch previous = buildSwitch(exchange, true);
        replacedSwitches.add(previous);
        publishState(exchange, previous, SwitchEntry.State.DRAINING, false, Span.ZERO);
        publishState(exchange, switches.get(exchange), SwitchEntry.State.READY, true, Span.ZERO);
    }

    /** Lists the replaced switches of the exchange as gone. */
    void endDrain(int exchange) {
        for (SimulatedSwitch simulatedSwitch : replacedSwitches) {
            if (simulatedSwitch.number() == exchange) {
                publishState(exchange, simulatedSwitch, SwitchEntry.State.GONE, false, Span.ZERO);
            }
        }
    }

    /** Stops the exchange's switch, which loses its contacts; it is listed as gone after an additional delay. */
    void stopSwitch(int exchange) {
        links.get(exchange).setSilent(true);
        switches.get(exchange).restart(callers::sessionsLost);
        publishState(exchange, switches.get(exchange), SwitchEntry.State.GONE, false, day.silentListLag());
    }

    /** Starts the stopped switch again, cold. */
    void startSwitchCold(int exchange) {
        switches.get(exchange).restart(callers::sessionsLost);
        links.get(exchange).setSilent(false);
        annotateColdStart(exchange);
        publishState(exchange, switches.get(exchange), SwitchEntry.State.READY, true, Span.ZERO);
    }

    /** Reduces the groups between the region and all others to this share of their circuits. */
    void reduceCircuits(int region, double keptShare) {
        for (String name : trunks.groupsMatching((firstExchange, secondExchange) ->
                (regionOf(firstExchange) == region) != (regionOf(secondExchange) == region))) {
            callers.sessionsLost(trunks.reduceCircuits(name, keptShare));
        }
    }

    void annotate(String kind, String attributes) {
        capture.annotation(kind, attributes);
    }

    SimulatedCallers callers() {
        return callers;
    }

    SimulatedNetwork network() {
        return network;
    }

    DirectoryService directory() {
        return directory;
    }

    TrunkGroups trunks() {
        return trunks;
    }

    SimulatedSwitch simulatedSwitch(int exchange) {
        return switches.get(exchange);
    }

    /** Queue wait of each switch in milliseconds, for the progress line. */
    String queueWaits() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < day.exchanges(); i++) {
            text.append(' ').append(switches.get(i).queueWaitMs());
        }
        return text.toString();
    }

    /** Exchanges whose switch was overloaded while cold. */
    List<Integer> overloadedSwitches() {
        List<Integer> overloaded = new ArrayList<>();
        for (int i = 0; i < day.exchanges(); i++) {
            if (switches.get(i).overloaded()) {
                overloaded.add(i);
            }
        }
        return overloaded;
    }

    @Override
    public void close() throws IOException {
        callers.close();
        directory.close();
        for (int i = 0; i < day.exchanges(); i++) {
            if (switches.get(i) != null) {
                switches.get(i).close();
            }
        }
        replacedSwitches.forEach(SimulatedSwitch::close);
        network.close();
        capture.close();
    }
}
