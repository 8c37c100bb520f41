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

/**
 * Checks expectations. Exit codes: 0 all hold, 1 one is broken, 2 wrong arguments or unreadable file, 3 two contradict
 * each other, 4 a file is malformed.
 */
@Command(
        name = "expect",
        mixinStandardHelpOptions = true,
        description = "Checks routing expectations against an exchange's configuration, without traffic.")
final class ExpectCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "FILE", description = "File with the expectations.")
    private Path expectationsFile;

    @Option(
            names = "--site",
            required = true,
            paramLabel = "XML",
            description = "Configuration of the exchange that they apply to.")
    private Path configurationFile;

    @Option(
            names = "--others",
            paramLabel = "FOLDER",
            description = "Folder with the configurations of other exchanges, so that these route as tandems.")
    private Path otherConfigurationsFolder;

    @Option(names = "--cover", description = "Print skills and destinations without an expectation.")
    private boolean showUncovered;

    @Option(names = "--suggest", description = "Print expectations that hold now.")
    private boolean showSuggested;

    @Option(
            names = "--findings",
            description = "Print weaknesses of the configuration, such as unreachable destinations.")
    private boolean showFindings;

    @Option(
            names = "--against",
            paramLabel = "XML",
            description = "Older configuration of the exchange: print which expectations change.")
    private Path olderConfigurationFile;

    @Option(names = "--junit", paramLabel = "FILE", description = "Write the result as a JUnit report, for CI.")
    private Path junitFile;

    @Override
    public Integer call() {
        try {
            ExchangeConfiguration configuration = ExchangeFile.read(configurationFile);
            Map<Integer, ExchangeConfiguration> configurations = new TreeMap<>();
            for (Path otherFile : otherConfigurationFiles()) {
                ExchangeConfiguration other = ExchangeFile.read(otherFile);
                configurations.put(other.number(), other);
            }
            configurations.put(configuration.number(), configuration);
            ExpectationFile.Contents contents = ExpectationFile.read(
                    expectationsFile.toString(), Files.readString(expectationsFile), configuration);
            ExpectationChecker olderChecker = null;
            if (olderConfigurationFile != null) {
                Map<Integer, ExchangeConfiguration> olderConfigurations = new TreeMap<>(configurations);
                olderConfigurations.put(configuration.number(), ExchangeFile.read(olderConfigurationFile));
                olderChecker = new ExpectationChecker(
                        olderConfigurations, configuration.number(), contents, RoutingPolicy::new);
            }
            return check(
                    contents,
                    new ExpectationChecker(configurations, configuration.number(), contents, RoutingPolicy::new),
                    olderChecker);
        } catch (InvalidFileException e) {
            System.err.println(e.getMessage());
            return 4;
        } catch (IOException e) {
            System.err.println("martenslip: " + e);
            return 2;
        }
    }

    /** Returns whether all expectations of a file hold for the exchange; prints those that don't. */
    static boolean allHold(Path expectationsFile, ExchangeConfiguration configuration)
            throws IOException, InvalidFileException {
        ExpectCommand command = new ExpectCommand();
        command.expectationsFile = expectationsFile;
        ExpectationFile.Contents contents =
                ExpectationFile.read(expectationsFile.toString(), Files.readString(expectationsFile), configuration);
        return command.check(
                        contents,
                        new ExpectationChecker(
                                Map.of(configuration.number(), configuration),
                                configuration.number(),
                                contents,
                                RoutingPolicy::new),
                        null)
                == 0;
    }

    private List<Path> otherConfigurationFiles() throws IOException {
        if (otherConfigurationsFolder == null) {
            return List.of();
        }
        try (Stream<Path> files = Files.list(otherConfigurationsFolder)) {
            return files.filter(file -> file.toString().endsWith(".xml"))
                    .sorted()
                    .toList();
        }
    }

    /** Returns the results as a JUnit XML report. */
    private String junitReport(List<ExpectationChecker.Result> results) {
        StringBuilder report = new StringBuilder("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"")
                .append(escapeXml(expectationsFile.toString()))
                .append("\" tests=\"")
                .append(results.size())
                .append("\" failures=\"")
                .append(results.stream().filter(result -> !result.holds()).count())
                .append("\">\n");
        for (ExpectationChecker.Result result : results) {
            report.append("  <testcase classname=\"")
                    .append(escapeXml(expectationsFile.getFileName().toString()))
                    .append("\" name=\"line ")
                    .append(result.expectation().line())
                    .append(": ")
                    .append(escapeXml(result.expectation().text()))
                    .append('"');
            report.append(
                    result.holds()
                            ? "/>\n"
                            : "><failure message=\"" + escapeXml(result.reason()) + "\"/></testcase>\n");
        }
        return report.append("</testsuite>\n").toString();
    }

    private static String escapeXml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /** Checks for contradictions, then all expectations; prints what is wrong and returns the exit code. */
    private int check(ExpectationFile.Contents contents, ExpectationChecker checker, ExpectationChecker olderChecker)
            throws IOException {
        long startNs = System.nanoTime();
        List<Contradictions.Contradiction> contradictions = Contradictions.find(contents.expectations());
        for (Contradictions.Contradiction contradiction : contradictions) {
            System.out.println(expectationsFile + ":" + contradiction.first().line() + " and :"
                    + contradiction.second().line() + " contradict each other ("
                    + contradiction.reason() + ")"
                    + (contradiction.state().isEmpty() ? "" : " while " + contradiction.state()) + "\n    "
                    + contradiction.first().text() + "\n    "
                    + contradiction.second().text());
        }
        if (!contradictions.isEmpty()) {
            return 3;
        }
        List<ExpectationChecker.Result> broken = new ArrayList<>();
        List<ExpectationChecker.Result> results = new ArrayList<>();
        for (Expectation expectation : contents.expectations()) {
            ExpectationChecker.Result result = checker.check(expectation);
            results.add(result);
            if (olderChecker != null && olderChecker.check(expectation).holds() != result.holds()) {
                System.out.println(expectationsFile + ":" + expectation.line()
                        + (result.holds() ? " now holds: " : " now breaks: ") + expectation.text());
            }
            if (!result.holds()) {
                broken.add(result);
                System.out.println(expectationsFile + ":" + expectation.line() + " broken: " + expectation.text()
                        + "\n    " + result.reason());
            }
        }
        System.out.printf(
                java.util.Locale.ROOT,
                "%d expectations, %d hold, %d broken; %d trials in %.1f s%n",
                contents.expectations().size(),
                contents.expectations().size() - broken.size(),
                broken.size(),
                checker.trialCount(),
                (System.nanoTime() - startNs) / 1e9);
        if (junitFile != null) {
            Files.writeString(junitFile, junitReport(results));
        }
        if (showFindings) {
            checker.findings().forEach(finding -> System.out.println("finding: " + finding));
        }
        if (showUncovered) {
            checker.uncovered(contents.expectations())
                    .forEach(uncovered -> System.out.println("not spoken of: " + uncovered));
        }
        if (showSuggested) {
            checker.suggested().forEach(System.out::println);
        }
        return broken.isEmpty() ? 0 : 1;
    }
}
