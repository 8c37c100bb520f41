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

/** A day's troubles as deeds on a schedule: each has a beginning and, most, an end. */
final class FaultSchedule {
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** One deed; {@code at} counts from the first contact. */
    record ScheduledAction(Span at, String what, Action does) {}

    private final StandInEnvironment world;
    private final ControllerProcesses controllers;
    private final List<CompletableFuture<Void>> starting = new ArrayList<>();
    private final List<ScheduledAction> deeds = new ArrayList<>();

    FaultSchedule(Day day, StandInEnvironment world, ControllerProcesses controllers) {
        this.world = world;
        this.controllers = controllers;
        day.troubles().forEach(this::add);
        deeds.sort(Comparator.comparing(ScheduledAction::at));
    }

    List<ScheduledAction> deeds() {
        return deeds;
    }

    private void add(Day.InjectedFault trouble) {
        XmlElement said = trouble.said();
        switch (trouble.kind()) {
            case "burst" ->
                both(
                        trouble,
                        () -> world.callers().setRateFactor(said.decimal("times")),
                        () -> world.callers().setRateFactor(1));
            case "hot-caller" ->
                both(
                        trouble,
                        () -> world.callers().setHotCaller(trouble.exchanges().get(0), said.decimal("part")),
                        () -> world.callers().setHotCaller(0, -1));
            case "slow" ->
                each(
                        trouble,
                        one -> world.machine(one).setSlowdown(said.decimal("times")),
                        one -> world.machine(one).setSlowdown(1));
            case "hang" ->
                each(
                        trouble,
                        one -> world.machine(one).setSilent(true),
                        one -> world.machine(one).setSilent(false));
            case "circuits-lost" ->
                both(
                        trouble,
                        () -> world.circuits(trouble.region(), said.decimal("part")),
                        () -> world.circuits(trouble.region(), 1));
            case "region-cut" ->
                both(
                        trouble,
                        () -> world.network().isolateRegion(trouble.region()),
                        () -> world.network().isolateRegion(-1));
            case "drain" -> each(trouble, world::drain, world::drained);
            case "list-late" ->
                both(
                        trouble,
                        () -> world.office().setExtraDelay(said.milliseconds("late-ms")),
                        () -> world.office().setExtraDelay(Span.ZERO));
            case "restart" -> each(trouble, world::down, world::upCold);
            case "kill" -> each(trouble, this::kill, this::back);
            case "wear" ->
                both(
                        trouble,
                        () -> world.network().setImpairments(wear(said)),
                        () -> world.network().setImpairments(SimulatedNetwork.Impairments.NONE));
            case "reset" -> each(trouble, this::reset, one -> {});
            case "stall" ->
                trouble.exchanges()
                        .forEach(one -> deeds.add(new ScheduledAction(
                                trouble.at(),
                                "stall " + one,
                                () -> controllers.stall(
                                        one,
                                        said.integer("lane"),
                                        trouble.span(),
                                        said.has("amid") ? said.text("amid") : ""))));
            case "cut" -> both(trouble, () -> world.callers().cutRandomly(said.decimal("part")), () -> {});
            default -> throw new IllegalStateException("a trouble that the schema knows alone: " + trouble.kind());
        }
    }

    private static SimulatedNetwork.Impairments wear(XmlElement said) {
        return new SimulatedNetwork.Impairments(
                said.decimal("part"), said.decimal("copies", 0), Span.ofMillis(said.decimal("reorder-ms", 0)));
    }

    private void kill(int exchange) throws IOException, InterruptedException {
        controllers.kill(exchange);
        world.controllerKilled(exchange);
    }

    /** Not waited for: the day goes on while the process starts. */
    private void back(int exchange) {
        starting.add(CompletableFuture.runAsync(() -> {
            try {
                controllers.start(exchange);
                world.controllerUp(exchange);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    /** Waits for the processes that were started last; a start that failed is thrown here. */
    void started() {
        starting.forEach(CompletableFuture::join);
    }

    private void reset(int exchange) {
        world.fact("resetting", "number=" + exchange);
        int broken = world.machine(exchange).resetConnections();
        world.fact("reset", "number=" + exchange + " connections=" + broken);
    }

    private void both(Day.InjectedFault trouble, Action begin, Action end) {
        deeds.add(new ScheduledAction(trouble.at(), trouble.kind() + words(trouble), begin));
        if (trouble.span().longerThan(Span.ZERO)) {
            deeds.add(new ScheduledAction(trouble.at().plus(trouble.span()), trouble.kind() + " ends", end));
        }
    }

    private interface ExchangeAction {
        void run(int exchange) throws IOException, InterruptedException;
    }

    private void each(Day.InjectedFault trouble, ExchangeAction begin, ExchangeAction end) {
        for (int exchange : trouble.exchanges()) {
            deeds.add(new ScheduledAction(trouble.at(), trouble.kind() + " " + exchange, () -> begin.run(exchange)));
            if (trouble.span().longerThan(Span.ZERO)) {
                deeds.add(new ScheduledAction(
                        trouble.at().plus(trouble.span()),
                        trouble.kind() + " " + exchange + " ends",
                        () -> end.run(exchange)));
            }
        }
    }

    private static String words(Day.InjectedFault trouble) {
        return trouble.region() < 0 ? "" : " of region " + trouble.region();
    }
}
