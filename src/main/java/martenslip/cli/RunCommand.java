package martenslip.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import martenslip.RoutingPolicy;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.ExchangeFile;
import martenslip.configuration.InvalidFileException;
import martenslip.configuration.Skill;
import martenslip.control.Span;
import martenslip.exchange.Exchange;
import martenslip.sip.transport.Hop;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs the controller of one exchange until SIGTERM. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs one exchange's call controller. Prints a line 'ready URI' for each socket.")
final class RunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(names = "--figures", description = "Print the counts at this interval.", paramLabel = "SECONDS")
    private int statisticsIntervalSeconds;

    @Option(names = "--expect", paramLabel = "FILE", description = "Start only if these expectations hold.")
    private Path expectations;

    @Option(
            names = "--planted",
            hidden = true,
            description = "Reads commands that stall lanes from standard input, for play.")
    private boolean readStalls;

    @Override
    public Integer call() throws InterruptedException {
        ExchangeConfiguration configuration;
        try {
            configuration = ExchangeFile.read(file);
            if (expectations != null && !ExpectCommand.allHold(expectations, configuration)) {
                System.err.println("martenslip: not started, as " + expectations + " does not hold for " + file);
                return 1;
            }
        } catch (InvalidFileException e) {
            System.err.println(e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("martenslip: " + file + " can't be read: " + e);
            return 2;
        }
        Exchange exchange = new Exchange(configuration, RoutingPolicy::new);
        try {
            exchange.start();
        } catch (IOException e) {
            System.err.println("martenslip: can't listen as " + file + " says: " + e.getMessage());
            exchange.close();
            return 2;
        }
        for (Hop.Protocol protocol : Hop.Protocol.values()) {
            if (exchange.port(protocol) >= 0) {
                System.out.println("ready sip:" + exchange.host() + ":" + exchange.port(protocol) + ";transport="
                        + protocol.name().toLowerCase(java.util.Locale.ROOT));
            }
        }
        System.out.flush();
        if (readStalls) {
            Thread reader = new Thread(null, () -> readStallCommands(exchange), "planted", 128 * 1024);
            reader.setDaemon(true);
            reader.start();
        }
        awaitShutdown(exchange, drainTimeout(configuration));
        return 0;
    }

    /**
     * Reads lines of the form {@code stall LANE MS [START]}. With a START, the lane stalls during the next send of a
     * message that begins with this text.
     */
    private static void readStallCommands(Exchange exchange) {
        BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        input.lines()
                .map(line -> line.split(" ", 4))
                .filter(fields -> fields.length > 2 && fields[0].equals("stall"))
                .forEach(fields -> exchange.injectStall(
                        Integer.parseInt(fields[1]),
                        Span.ofMillis(Double.parseDouble(fields[2])),
                        fields.length < 4 || fields[3].isEmpty() ? null : fields[3]));
    }

    /** Returns the longest patience of a skill, plus half a second. */
    private static Span drainTimeout(ExchangeConfiguration configuration) {
        Span longestPatience = Span.ZERO;
        for (Skill skill : configuration.skills()) {
            longestPatience = longestPatience.atLeast(skill.patience());
        }
        return longestPatience.plus(Span.ofMillis(500));
    }

    /** Waits for SIGTERM, whose shutdown hook answers the open contacts before the process ends. */
    private void awaitShutdown(Exchange exchange, Span drainTimeout) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                boolean allAnswered = exchange.drain(drainTimeout);
                System.out.println(
                        "ended " + (allAnswered ? "in good order " : "with answers owed ") + exchange.statistics());
                System.out.flush();
                exchange.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                stopped.countDown();
            }
        }));
        while (!stopped.await(
                statisticsIntervalSeconds > 0 ? statisticsIntervalSeconds : 3600,
                java.util.concurrent.TimeUnit.SECONDS)) {
            if (statisticsIntervalSeconds > 0) {
                System.out.println("figures " + exchange.statistics());
                System.out.flush();
            }
        }
    }
}
