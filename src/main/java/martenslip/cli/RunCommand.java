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

/** Runs one exchange until SIGTERM. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs one exchange's call controller. Prints a line 'ready URI' for each socket.")
final class RunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(names = "--figures", description = "Print the counts every so many seconds.", paramLabel = "SECONDS")
    private int every;

    @Option(names = "--expect", paramLabel = "FILE", description = "Start only where these expectations hold.")
    private Path expectations;

    @Option(names = "--planted", hidden = true, description = "Reads stalls to plant from standard input, for plays.")
    private boolean planted;

    @Override
    public Integer call() throws InterruptedException {
        ExchangeConfiguration site;
        try {
            site = ExchangeFile.read(file);
            if (expectations != null && !ExpectCommand.holds(expectations, site)) {
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
        Exchange exchange = new Exchange(site, RoutingPolicy::new);
        try {
            exchange.start();
        } catch (IOException e) {
            System.err.println("martenslip: can't listen as " + file + " says: " + e.getMessage());
            exchange.close();
            return 2;
        }
        for (Hop.Protocol kind : Hop.Protocol.values()) {
            if (exchange.port(kind) >= 0) {
                System.out.println("ready sip:" + exchange.host() + ":" + exchange.port(kind) + ";transport="
                        + kind.name().toLowerCase(java.util.Locale.ROOT));
            }
        }
        System.out.flush();
        if (planted) {
            Thread reader = new Thread(null, () -> plant(exchange), "planted", 128 * 1024);
            reader.setDaemon(true);
            reader.start();
        }
        untilStopped(exchange, patience(site));
        return 0;
    }

    /** Lines of: stall LANE MS [START], where a START means amid the next send of a message that begins with it. */
    private static void plant(Exchange exchange) {
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        lines.lines()
                .map(line -> line.split(" ", 4))
                .filter(words -> words.length > 2 && words[0].equals("stall"))
                .forEach(words -> exchange.injectStall(
                        Integer.parseInt(words[1]),
                        Span.ofMillis(Double.parseDouble(words[2])),
                        words.length < 4 || words[3].isEmpty() ? null : words[3]));
    }

    private static Span patience(ExchangeConfiguration site) {
        Span longest = Span.ZERO;
        for (Skill skill : site.skills()) {
            longest = longest.atLeast(skill.patience());
        }
        return longest.plus(Span.ofMillis(500));
    }

    /** SIGTERM runs the hook, which lets the process end only once what is owed is answered. */
    private void untilStopped(Exchange exchange, Span owed) throws InterruptedException {
        CountDownLatch over = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                boolean all = exchange.drain(owed);
                System.out.println("ended " + (all ? "in good order " : "with answers owed ") + exchange.statistics());
                System.out.flush();
                exchange.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                over.countDown();
            }
        }));
        while (!over.await(every > 0 ? every : 3600, java.util.concurrent.TimeUnit.SECONDS)) {
            if (every > 0) {
                System.out.println("figures " + exchange.statistics());
                System.out.flush();
            }
        }
    }
}
