package martenslip.play;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import martenslip.control.Span;
import martenslip.provision.Node;
import martenslip.standin.Network;

/** A day's troubles as deeds on a schedule: each has a beginning and, most, an end. */
final class Troubles {
    interface Does {
        void run() throws IOException, InterruptedException;
    }

    /** One deed; {@code at} counts from the first contact. */
    record Deed(Span at, String what, Does does) {}

    private final World world;
    private final Controllers controllers;
    private final List<CompletableFuture<Void>> starting = new ArrayList<>();
    private final List<Deed> deeds = new ArrayList<>();

    Troubles(Day day, World world, Controllers controllers) {
        this.world = world;
        this.controllers = controllers;
        day.troubles().forEach(this::add);
        deeds.sort(Comparator.comparing(Deed::at));
    }

    List<Deed> deeds() {
        return deeds;
    }

    private void add(Day.Trouble trouble) {
        Node said = trouble.said();
        switch (trouble.kind()) {
            case "burst" ->
                both(
                        trouble,
                        () -> world.callers().times(said.decimal("times")),
                        () -> world.callers().times(1));
            case "hot-caller" ->
                both(
                        trouble,
                        () -> world.callers().hot(trouble.exchanges().get(0), said.decimal("part")),
                        () -> world.callers().hot(0, -1));
            case "slow" ->
                each(
                        trouble,
                        one -> world.machine(one).slow(said.decimal("times")),
                        one -> world.machine(one).slow(1));
            case "hang" ->
                each(
                        trouble,
                        one -> world.machine(one).silent(true),
                        one -> world.machine(one).silent(false));
            case "circuits-lost" ->
                both(
                        trouble,
                        () -> world.circuits(trouble.region(), said.decimal("part")),
                        () -> world.circuits(trouble.region(), 1));
            case "region-cut" ->
                both(
                        trouble,
                        () -> world.network().cut(trouble.region()),
                        () -> world.network().cut(-1));
            case "drain" -> each(trouble, world::drain, world::drained);
            case "list-late" ->
                both(
                        trouble,
                        () -> world.office().late(said.ms("late-ms")),
                        () -> world.office().late(Span.ZERO));
            case "restart" -> each(trouble, world::down, world::upCold);
            case "kill" -> each(trouble, this::kill, this::back);
            case "wear" ->
                both(
                        trouble,
                        () -> world.network().wear(wear(said)),
                        () -> world.network().wear(Network.Wear.NONE));
            case "reset" -> each(trouble, this::reset, one -> {});
            case "stall" ->
                trouble.exchanges()
                        .forEach(one -> deeds.add(new Deed(
                                trouble.at(),
                                "stall " + one,
                                () -> controllers.stall(
                                        one,
                                        said.integer("lane"),
                                        trouble.span(),
                                        said.has("amid") ? said.text("amid") : ""))));
            case "cut" -> both(trouble, () -> world.callers().cutSome(said.decimal("part")), () -> {});
            default -> throw new IllegalStateException("a trouble that the schema knows alone: " + trouble.kind());
        }
    }

    private static Network.Wear wear(Node said) {
        return new Network.Wear(
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

    private void both(Day.Trouble trouble, Does begin, Does end) {
        deeds.add(new Deed(trouble.at(), trouble.kind() + words(trouble), begin));
        if (trouble.span().longerThan(Span.ZERO)) {
            deeds.add(new Deed(trouble.at().plus(trouble.span()), trouble.kind() + " ends", end));
        }
    }

    private interface Of {
        void run(int exchange) throws IOException, InterruptedException;
    }

    private void each(Day.Trouble trouble, Of begin, Of end) {
        for (int exchange : trouble.exchanges()) {
            deeds.add(new Deed(trouble.at(), trouble.kind() + " " + exchange, () -> begin.run(exchange)));
            if (trouble.span().longerThan(Span.ZERO)) {
                deeds.add(new Deed(
                        trouble.at().plus(trouble.span()),
                        trouble.kind() + " " + exchange + " ends",
                        () -> end.run(exchange)));
            }
        }
    }

    private static String words(Day.Trouble trouble) {
        return trouble.region() < 0 ? "" : " of region " + trouble.region();
    }
}
