package martenslip.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import martenslip.RoutingPolicy;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.ExchangeFile;
import martenslip.configuration.InvalidFileException;
import martenslip.expect.Contradictions;
import martenslip.expect.Expectation;
import martenslip.expect.ExpectationChecker;
import martenslip.expect.ExpectationFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Exit codes: 0 all hold, 1 one is broken, 3 two contradict each other, 4 a file is malformed, 2 called wrongly. */
@Command(
        name = "expect",
        mixinStandardHelpOptions = true,
        description = "Checks routing expectations against an exchange's file, without traffic.")
final class ExpectCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "The expectations.")
    private Path file;

    @Option(names = "--site", required = true, paramLabel = "XML", description = "The exchange that they are of.")
    private Path siteFile;

    @Option(
            names = "--others",
            paramLabel = "FOLDER",
            description = "Files of other exchanges: as tandems they then decide as they would.")
    private Path others;

    @Option(names = "--cover", description = "Name skills and destinations that none speaks of.")
    private boolean cover;

    @Option(names = "--suggest", description = "Write expectations that hold today.")
    private boolean suggest;

    @Option(names = "--findings", description = "Name what is weak with no expectation written.")
    private boolean findings;

    @Option(names = "--against", paramLabel = "XML", description = "An older file of the exchange: tells what changes.")
    private Path against;

    @Option(names = "--junit", paramLabel = "FILE", description = "Write the outcome as JUnit does, for CI.")
    private Path junit;

    @Override
    public Integer call() {
        try {
            ExchangeConfiguration site = ExchangeFile.read(siteFile);
            Map<Integer, ExchangeConfiguration> sites = new TreeMap<>();
            for (Path one : folder()) {
                ExchangeConfiguration other = ExchangeFile.read(one);
                sites.put(other.number(), other);
            }
            sites.put(site.number(), site);
            ExpectationFile.Contents read = ExpectationFile.read(file.toString(), Files.readString(file), site);
            ExpectationChecker older = null;
            if (against != null) {
                Map<Integer, ExchangeConfiguration> before = new TreeMap<>(sites);
                before.put(site.number(), ExchangeFile.read(against));
                older = new ExpectationChecker(before, site.number(), read, RoutingPolicy::new);
            }
            return check(read, new ExpectationChecker(sites, site.number(), read, RoutingPolicy::new), older);
        } catch (InvalidFileException e) {
            System.err.println(e.getMessage());
            return 4;
        } catch (IOException e) {
            System.err.println("martenslip: " + e);
            return 2;
        }
    }

    /** True where all lines of the file hold for the exchange; what doesn't is printed. */
    static boolean holds(Path lines, ExchangeConfiguration site) throws IOException, InvalidFileException {
        ExpectCommand command = new ExpectCommand();
        command.file = lines;
        ExpectationFile.Contents read = ExpectationFile.read(lines.toString(), Files.readString(lines), site);
        return command.check(
                        read,
                        new ExpectationChecker(Map.of(site.number(), site), site.number(), read, RoutingPolicy::new),
                        null)
                == 0;
    }

    private List<Path> folder() throws IOException {
        if (others == null) {
            return List.of();
        }
        try (Stream<Path> all = Files.list(others)) {
            return all.filter(one -> one.toString().endsWith(".xml")).sorted().toList();
        }
    }

    private String junit(List<ExpectationChecker.Result> all) {
        StringBuilder text = new StringBuilder("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"")
                .append(escaped(file.toString()))
                .append("\" tests=\"")
                .append(all.size())
                .append("\" failures=\"")
                .append(all.stream().filter(one -> !one.holds()).count())
                .append("\">\n");
        for (ExpectationChecker.Result one : all) {
            text.append("  <testcase classname=\"")
                    .append(escaped(file.getFileName().toString()))
                    .append("\" name=\"line ")
                    .append(one.expectation().line())
                    .append(": ")
                    .append(escaped(one.expectation().text()))
                    .append('"');
            text.append(one.holds() ? "/>\n" : "><failure message=\"" + escaped(one.reason()) + "\"/></testcase>\n");
        }
        return text.append("</testsuite>\n").toString();
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private int check(ExpectationFile.Contents read, ExpectationChecker check, ExpectationChecker older)
            throws IOException {
        long began = System.nanoTime();
        List<Contradictions.Contradiction> pairs = Contradictions.find(read.expectations());
        for (Contradictions.Contradiction pair : pairs) {
            System.out.println(
                    file + ":" + pair.one().line() + " and :" + pair.other().line() + " contradict each other ("
                            + pair.reason() + ")" + (pair.state().isEmpty() ? "" : " while " + pair.state()) + "\n    "
                            + pair.one().text() + "\n    " + pair.other().text());
        }
        if (!pairs.isEmpty()) {
            return 3;
        }
        List<ExpectationChecker.Result> broken = new ArrayList<>();
        List<ExpectationChecker.Result> all = new ArrayList<>();
        for (Expectation one : read.expectations()) {
            ExpectationChecker.Result verdict = check.check(one);
            all.add(verdict);
            if (older != null && older.check(one).holds() != verdict.holds()) {
                System.out.println(
                        file + ":" + one.line() + (verdict.holds() ? " now holds: " : " now breaks: ") + one.text());
            }
            if (!verdict.holds()) {
                broken.add(verdict);
                System.out.println(file + ":" + one.line() + " broken: " + one.text() + "\n    " + verdict.reason());
            }
        }
        System.out.printf(
                java.util.Locale.ROOT,
                "%d expectations, %d hold, %d broken; %d trials in %.1f s%n",
                read.expectations().size(),
                read.expectations().size() - broken.size(),
                broken.size(),
                check.trialCount(),
                (System.nanoTime() - began) / 1e9);
        if (junit != null) {
            Files.writeString(junit, junit(all));
        }
        if (findings) {
            check.findings().forEach(one -> System.out.println("finding: " + one));
        }
        if (cover) {
            check.uncovered(read.expectations()).forEach(one -> System.out.println("not spoken of: " + one));
        }
        if (suggest) {
            check.suggested().forEach(System.out::println);
        }
        return broken.isEmpty() ? 0 : 1;
    }
}
