package martenslip.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import martenslip.scenario.CoresBenchmark;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws the 99th percentile of the set-up time over the rate, with a series for each number of lanes. */
final class CoresBenchmarkChart {
    private CoresBenchmarkChart() {}

    static void write(List<CoresBenchmark.RateResult> results, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(800)
                .height(500)
                .title("One exchange, p99 from INVITE to 200")
                .xAxisTitle("contacts per second")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setYAxisLogarithmic(true);
        for (int lanes : results.stream()
                .map(CoresBenchmark.RateResult::lanes)
                .distinct()
                .toList()) {
            List<CoresBenchmark.RateResult> laneResults =
                    results.stream().filter(result -> result.lanes() == lanes).toList();
            chart.addSeries(
                    lanes + " lanes",
                    laneResults.stream().map(CoresBenchmark.RateResult::rate).toList(),
                    laneResults.stream()
                            .map(result -> result.p99Micros() / 1000.0)
                            .toList());
        }
        VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }
}
