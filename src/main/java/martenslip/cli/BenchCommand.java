package martenslip.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import martenslip.scenario.CoresBenchmark;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Measures delay and CPU time of an exchange over rates and numbers of lanes. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures one exchange on several lanes on this machine.")
final class BenchCommand implements Callable<Integer> {
    @Parameters(paramLabel = "WHAT", description = "cores: all measurements; full: only the one with full groups")
    private String benchmarkName;

    @Option(names = "--lanes", split = ",", defaultValue = "1,2,4,8", description = "Numbers of lanes to measure.")
    private List<Integer> lanes;

    @Option(
            names = "--rates",
            split = ",",
            defaultValue = "620,1200,2000,3000,4000,5000,6500,8000,10000",
            description = "Contacts per second, in rising order.")
    private List<Integer> rates;

    @Option(names = "--seconds", defaultValue = "6", description = "Seconds for which each rate is kept up.")
    private int seconds;

    @Option(
            names = "--into",
            defaultValue = "target/bench",
            description = "Folder for files, table and chart (default: ${DEFAULT-VALUE}).")
    private Path outputFolder;

    @Option(
            names = "--java",
            defaultValue = "-XX:+UseParallelGC -XX:ParallelGCThreads=4 -Xms2g -Xmx2g -Xmn1400m",
            description = "JVM options of the exchange.")
    private String jvmOptions;

    @Override
    public Integer call() throws InterruptedException {
        if (!benchmarkName.equals("cores") && !benchmarkName.equals("full")) {
            System.err.println("martenslip: nothing called " + benchmarkName + " is measured");
            return 2;
        }
        try {
            CoresBenchmark benchmark =
                    new CoresBenchmark(outputFolder, List.of(jvmOptions.trim().split(" +")), seconds, System.out);
            if (benchmarkName.equals("cores")) {
                List<CoresBenchmark.RateResult> results = benchmark.measureRates(lanes, rates);
                writeCsv(results);
                CoresBenchmarkChart.write(results, outputFolder.resolve("cores.svg"));
            }
            benchmark.measureFullGroups(lanes);
            System.out.flush();
            return 0;
        } catch (IOException e) {
            System.err.println("martenslip: " + e);
            return 2;
        }
    }

    private void writeCsv(List<CoresBenchmark.RateResult> results) throws IOException {
        try (PrintStream csv = new PrintStream(
                Files.newOutputStream(outputFolder.resolve("cores.csv")), false, StandardCharsets.UTF_8)) {
            csv.println("lanes,rate,dialled,stood,p50_us,p99_us,p999_us,cpu_ms");
            results.forEach(result -> csv.printf(
                    Locale.ROOT,
                    "%d,%.0f,%d,%d,%d,%d,%d,%.3f%n",
                    result.lanes(),
                    result.rate(),
                    result.dialled(),
                    result.established(),
                    result.p50Micros(),
                    result.p99Micros(),
                    result.p999Micros(),
                    result.cpuMs()));
        }
    }
}
