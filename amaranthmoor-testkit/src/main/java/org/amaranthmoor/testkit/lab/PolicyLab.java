package org.amaranthmoor.testkit.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Runs all cases under all policies and renders the results.
 *
 * <p>Used by one thread.
 */
public final class PolicyLab {

  private static final String PRODUCT_POLICY = "hot-cold";
  private static final double P99 = 99;
  // Smaller differences of p99 between policies count as noise.
  private static final double MIN_RELATIVE_DIFFERENCE = 0.05;
  private static final int PROBE_BYTES = 60;
  private static final int CHART_WIDTH = 1_400;
  private static final int CHART_HEIGHT = 700;

  private final long seed;
  private final List<Row> rows = new ArrayList<>();

  private record Row(LabCase labCase, LabPolicy policy, LabResult result) {}

  /**
   * Creates a comparison without results.
   *
   * @param seed seed of arrivals and choices
   */
  public PolicyLab(long seed) {
    this.seed = seed;
  }

  /** Runs all cases under all policies, several at a time. */
  public void run() {
    List<LabCase> cases = new ArrayList<>();
    for (Site site : List.of(Site.lending(), Site.booking(), Site.telemetry())) {
      cases.addAll(LabCase.disturbed(site));
    }
    cases.addAll(LabCase.overload(Site.lending()));
    List<Row> planned = new ArrayList<>();
    for (LabCase labCase : cases) {
      LabPolicy.all(labCase.site()).forEach(p -> planned.add(new Row(labCase, p, null)));
    }
    rows.addAll(planned.parallelStream().map(this::runRow).toList());
  }

  private Row runRow(Row planned) {
    LabResult result = LabRun.run(planned.labCase, planned.policy, seed);
    return new Row(planned.labCase, planned.policy, result);
  }

  /**
   * Renders all results.
   *
   * @return the seed and a Markdown table
   */
  public String table() {
    StringBuilder text = new StringBuilder();
    text.append("seed ").append(seed).append("\n\n");
    text.append(
        "| site | case | policy | p50 ms | p99 ms | p99.9 ms | browse p99 ms | order p99 ms | in deadline | goodput of capacity | refused | refused critical | unknown | failed | wasted | attempts/call | probes/s/entry | probe B/call |\n");
    text.append("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    rows.forEach(row -> text.append(line(row)));
    return text.toString();
  }

  private static String line(Row row) {
    LabResult r = row.result;
    double seconds = row.labCase.seconds();
    int entrySides = row.labCase.site().servers();
    double capacity = entrySides * (double) row.labCase.site().slots() * seconds * 1e9;
    return String.format(
        Locale.ROOT,
        "| %s | %s | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.4f | %.3f | %.4f | %.4f | %d | %d | %.4f | %.3f | %.2f | %.2f |%n",
        row.labCase.site().name(),
        row.labCase.name(),
        row.policy.name(),
        r.millis(50),
        r.millis(99),
        r.millis(99.9),
        r.millis("browse", P99),
        r.millis("order", P99),
        (double) r.inDeadline / r.calls,
        r.workInDeadlineNanos / capacity,
        (double) r.refused / r.calls,
        (double) r.refusedCritical / Math.max(1, r.criticalCalls),
        r.unknown,
        r.failed,
        r.wastedNanos / Math.max(1, r.workNanos),
        r.amplification(),
        r.probes / seconds / entrySides,
        (double) r.probes * PROBE_BYTES / r.calls);
  }

  /**
   * Renders, for each case and kind of call, the p99 latency of the product's policy relative to
   * the oracle, and the baselines that are faster by more than 5 %.
   *
   * @return one line for each case and kind
   */
  public String summary() {
    StringBuilder text = new StringBuilder();
    for (Row row : rows) {
      if (row.policy.name().equals(PRODUCT_POLICY)) {
        text.append(summaryOf(row));
      }
    }
    return text.toString();
  }

  private String summaryOf(Row productRow) {
    LabResult oracle = find(productRow.labCase, "oracle");
    LabResult undisturbed = findUndisturbedOracle(productRow);
    StringBuilder text = new StringBuilder();
    for (String kind : List.of("browse", "order")) {
      double own = productRow.result.millis(kind, P99);
      text.append(
          String.format(
              Locale.ROOT,
              "%-22s %-22s %-6s p99 %7.1f ms = %.2f of the oracle in the case, %.2f of the undisturbed oracle%s%n",
              productRow.labCase.site().name(),
              productRow.labCase.name(),
              kind,
              own,
              own / oracle.millis(kind, P99),
              own / undisturbed.millis(kind, P99),
              fasterBaselines(productRow, kind)));
    }
    return text.toString();
  }

  private String fasterBaselines(Row productRow, String kind) {
    double own = productRow.result.millis(kind, P99);
    List<String> faster = new ArrayList<>();
    for (Row other : rows) {
      boolean baseline =
          other.labCase.equals(productRow.labCase)
              && !other.policy.name().equals("oracle")
              && !other.policy.name().equals(PRODUCT_POLICY);
      double ratio = other.result.millis(kind, P99) / own;
      if (baseline && ratio < 1 - MIN_RELATIVE_DIFFERENCE) {
        faster.add(String.format(Locale.ROOT, "%s (%.2f)", other.policy.name(), ratio));
      }
    }
    return faster.isEmpty() ? "" : "; loses to " + String.join(", ", faster);
  }

  private LabResult find(LabCase labCase, String policy) {
    return rows.stream()
        .filter(row -> row.labCase.equals(labCase) && row.policy.name().equals(policy))
        .findFirst()
        .orElseThrow()
        .result;
  }

  private LabResult findUndisturbedOracle(Row productRow) {
    return rows.stream()
        .filter(row -> row.labCase.site().equals(productRow.labCase.site()))
        .filter(row -> row.labCase.name().equals("undisturbed"))
        .filter(row -> row.policy.name().equals("oracle"))
        .findFirst()
        .orElseThrow()
        .result;
  }

  /**
   * Writes a PNG chart of the p99 latencies at the booking site.
   *
   * @param file the file, without its extension
   * @throws IOException if the file cannot be written
   */
  public void plot(Path file) throws IOException {
    Site site = Site.booking();
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(CHART_WIDTH)
            .height(CHART_HEIGHT)
            .title("p99 latency by case, " + site.name())
            .xAxisTitle("case")
            .yAxisTitle("p99 in ms")
            .build();
    chart.getStyler().setXAxisLabelRotation(60);
    List<LabCase> cases =
        rows.stream().map(Row::labCase).filter(c -> c.site().equals(site)).distinct().toList();
    for (LabPolicy policy : LabPolicy.all(site)) {
      List<Double> values =
          cases.stream().map(labCase -> find(labCase, policy.name()).millis(99)).toList();
      chart.addSeries(policy.name(), cases.stream().map(LabCase::name).toList(), values);
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
