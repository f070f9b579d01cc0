package org.amaranthmoor.testkit.capacity;

import java.util.List;
import java.util.Locale;

/**
 * Runs the benchmarks at several sizes and renders the results as Markdown tables.
 *
 * <p>Used by one thread.
 */
public final class CapacityReport {

  private static final int SETTLE_SECONDS = 5;
  private static final int MEASURED_SECONDS = 20;
  private static final double NODES_PER_SERVICE = 6_800.0 / 880;

  private CapacityReport() {}

  /**
   * Measures the gossip of membership.
   *
   * @param sizes numbers of nodes in the region
   * @return a Markdown table
   */
  public static String gossip(List<Integer> sizes) {
    StringBuilder text = new StringBuilder();
    text.append(
        "| nodes in region | bytes/s a node | messages/s a node | CPU of a core, % | leave known everywhere, s | failure known, s | a tenth of nodes fail: known, s | bytes/s a node then | false deaths |\n");
    text.append("|---|---|---|---|---|---|---|---|---|\n");
    sizes.forEach(size -> text.append(gossip(size)));
    return text.toString();
  }

  private static String gossip(int size) {
    GossipBenchmark benchmark = new GossipBenchmark(size);
    benchmark.run(SETTLE_SECONDS);
    GossipBenchmark.Cost idle = benchmark.run(MEASURED_SECONDS);
    double leaveSeconds = benchmark.secondsUntilLeft(0);
    double deathSeconds = benchmark.secondsUntilDead(1, 1);
    double massDeathSeconds = benchmark.secondsUntilDead(2, size / 10);
    GossipBenchmark.Cost afterDeaths = benchmark.run(MEASURED_SECONDS);
    return String.format(
        Locale.ROOT,
        "| %d | %.0f | %.2f | %.3f | %.1f | %.1f | %.1f | %.0f | %d |%n",
        size,
        idle.bytesPerSecond(),
        idle.messagesPerSecond(),
        idle.cpuShare() * 100,
        leaveSeconds,
        deathSeconds,
        massDeathSeconds,
        afterDeaths.bytesPerSecond(),
        benchmark.falselyDead());
  }

  /**
   * Measures the fold of the log and checkpoints.
   *
   * @param sizes total numbers of nodes
   * @return a Markdown table
   */
  public static String state(List<Integer> sizes) {
    StringBuilder text = new StringBuilder();
    text.append(
        "| nodes | services | checkpoint bytes | checkpoint ms | fold of a note, µs | fold of an announcement, µs |\n");
    text.append("|---|---|---|---|---|---|\n");
    for (int size : sizes) {
      int services = (int) Math.max(1, Math.round(size / NODES_PER_SERVICE));
      var warm = StateBenchmark.measure(size, services);
      StateBenchmark.Cost cost = StateBenchmark.measure(size, services);
      text.append(
          String.format(
              Locale.ROOT,
              "| %d | %d | %d | %.1f | %.0f | %.0f |%n",
              warm.nodes(),
              cost.services(),
              cost.checkpointBytes(),
              cost.checkpointMillis(),
              cost.foldMicrosPerNote(),
              cost.foldMicrosPerJoin()));
    }
    return text.toString();
  }
}
