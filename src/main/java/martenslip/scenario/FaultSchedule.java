package martenslip.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import martenslip.configuration.XmlElement;
import martenslip.control.Span;
import martenslip.standin.SimulatedNetwork;

/** The faults of a day as scheduled actions: one that starts the fault and, for most kinds, one that ends it. */
final class FaultSchedule {
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** One action; {@code at} is the time since the first contact. */
    record ScheduledAction(Span startsAfter, String description, Action action) {}

    private final StandInEnvironment environment;
    private final ControllerProcesses controllers;
    private final List<CompletableFuture<Void>> pendingStarts = new ArrayList<>();
    private final List<ScheduledAction> actions = new ArrayList<>();

    FaultSchedule(Day day, StandInEnvironment environment, ControllerProcesses controllers) {
        this.environment = environment;
        this.controllers = controllers;
        day.faults().forEach(this::add);
        actions.sort(Comparator.comparing(ScheduledAction::startsAfter));
    }

    List<ScheduledAction> actions() {
        return actions;
    }

    private void add(Day.InjectedFault fault) {
        XmlElement attributes = fault.attributes();
        switch (fault.kind()) {
            case "burst" ->
                addStartAndEnd(
                        fault,
                        () -> environment.callers().setRateFactor(attributes.decimal("times")),
                        () -> environment.callers().setRateFactor(1));
            case "hot-caller" ->
                addStartAndEnd(
                        fault,
                        () -> environment
                                .callers()
                                .setHotCaller(fault.exchanges().get(0), attributes.decimal("part")),
                        () -> environment.callers().setHotCaller(0, -1));
            case "slow" ->
                addForEachExchange(
                        fault,
                        exchange -> environment.simulatedSwitch(exchange).setSlowdown(attributes.decimal("times")),
                        exchange -> environment.simulatedSwitch(exchange).setSlowdown(1));
            case "hang" ->
                addForEachExchange(
                        fault,
                        exchange -> environment.simulatedSwitch(exchange).setSilent(true),
                        exchange -> environment.simulatedSwitch(exchange).setSilent(false));
            case "circuits-lost" ->
                addStartAndEnd(
                        fault,
                        () -> environment.reduceCircuits(fault.region(), attributes.decimal("part")),
                        () -> environment.reduceCircuits(fault.region(), 1));
            case "region-cut" ->
                addStartAndEnd(
                        fault,
                        () -> environment.network().isolateRegion(fault.region()),
                        () -> environment.network().isolateRegion(-1));
            case "drain" -> addForEachExchange(fault, environment::drain, environment::endDrain);
            case "list-late" ->
                addStartAndEnd(
                        fault,
                        () -> environment.directory().setExtraDelay(attributes.milliseconds("late-ms")),
                        () -> environment.directory().setExtraDelay(Span.ZERO));
            case "restart" -> addForEachExchange(fault, environment::stopSwitch, environment::startSwitchCold);
            case "kill" -> addForEachExchange(fault, this::kill, this::startController);
            case "wear" ->
                addStartAndEnd(
                        fault,
                        () -> environment.network().setImpairments(impairments(attributes)),
                        () -> environment.network().setImpairments(SimulatedNetwork.Impairments.NONE));
            case "reset" -> addForEachExchange(fault, this::resetConnections, exchange -> {});
            case "stall" ->
                fault.exchanges()
                        .forEach(exchange -> actions.add(new ScheduledAction(
                                fault.startsAfter(),
                                "stall " + exchange,
                                () -> controllers.stall(
                                        exchange,
                                        attributes.integer("lane"),
                                        fault.duration(),
                                        attributes.has("amid") ? attributes.text("amid") : ""))));
            case "cut" ->
                addStartAndEnd(fault, () -> environment.callers().cutRandomly(attributes.decimal("part")), () -> {});
            default ->
                throw new IllegalStateException("the schema allows a fault kind without an action: " + fault.kind());
        }
    }

    private static SimulatedNetwork.Impairments impairments(XmlElement attributes) {
        return new SimulatedNetwork.Impairments(
                attributes.decimal("part"),
                attributes.decimal("copies", 0),
                Span.ofMillis(attributes.decimal("reorder-ms", 0)));
    }

    private void kill(int exchange) throws IOException, InterruptedException {
        controllers.kill(exchange);
        environment.controllerKilled(exchange);
    }

    /** Starts the controller's process in the background, so that the day goes on meanwhile. */
    private void startController(int exchange) {
        pendingStarts.add(CompletableFuture.runAsync(() -> {
            try {
                controllers.start(exchange);
                environment.controllerUp(exchange);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    /** Waits for the processes started in the background; throws if one failed to start. */
    void awaitStarts() {
        pendingStarts.forEach(CompletableFuture::join);
    }

    private void resetConnections(int exchange) {
        environment.annotate("resetting", "number=" + exchange);
        int connectionCount = environment.simulatedSwitch(exchange).resetConnections();
        environment.annotate("reset", "number=" + exchange + " connections=" + connectionCount);
    }

    private void addStartAndEnd(Day.InjectedFault fault, Action startAction, Action endAction) {
        actions.add(new ScheduledAction(fault.startsAfter(), fault.kind() + regionSuffix(fault), startAction));
        if (fault.duration().longerThan(Span.ZERO)) {
            actions.add(
                    new ScheduledAction(fault.startsAfter().plus(fault.duration()), fault.kind() + " ends", endAction));
        }
    }

    private interface ExchangeAction {
        void run(int exchange) throws IOException, InterruptedException;
    }

    private void addForEachExchange(Day.InjectedFault fault, ExchangeAction startAction, ExchangeAction endAction) {
        for (int exchange : fault.exchanges()) {
            actions.add(new ScheduledAction(
                    fault.startsAfter(), fault.kind() + " " + exchange, () -> startAction.run(exchange)));
            if (fault.duration().longerThan(Span.ZERO)) {
                actions.add(new ScheduledAction(
                        fault.startsAfter().plus(fault.duration()),
                        fault.kind() + " " + exchange + " ends",
                        () -> endAction.run(exchange)));
            }
        }
    }

    private static String regionSuffix(Day.InjectedFault fault) {
        return fault.region() < 0 ? "" : " of region " + fault.region();
    }
}
