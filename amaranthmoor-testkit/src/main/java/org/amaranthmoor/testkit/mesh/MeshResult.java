package org.amaranthmoor.testkit.mesh;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Outcomes of the requests of a run, by kind and by window of two seconds in which the first
 * attempt of a request arrived. Confined to one thread.
 */
public final class MeshResult {

  private static final double WINDOW_NANOS = 2e9;

  private static final class Sums {
    private double offeredWorth;
    private double earnedWorth;
    private int requests;
    private int inTime;
    private int late;
    private int lost;
    private int refusedRetries;
  }

  private final Map<String, Sums> byKind = new LinkedHashMap<>();
  private final Map<Long, Sums> byWindow = new LinkedHashMap<>();
  private long attempts;
  private long otherZoneResponses;

  MeshResult() {}

  void onFirstRequest(MeshRequestKind kind, long firstAttemptNanos) {
    for (Sums sums : sumsOf(kind, firstAttemptNanos)) {
      sums.requests++;
      sums.offeredWorth += kind.worth();
    }
  }

  void onServed(MeshRequestKind kind, long firstAttemptNanos, long endNanos) {
    boolean inTime =
        endNanos - firstAttemptNanos <= kind.objectiveMillis() * MeshClock.NANOS_PER_MILLI;
    for (Sums sums : sumsOf(kind, firstAttemptNanos)) {
      sums.earnedWorth += kind.worth() * (inTime ? 1 : MeshRequestKind.LATE_WORTH_SHARE);
      sums.inTime += inTime ? 1 : 0;
      sums.late += inTime ? 0 : 1;
    }
  }

  void onLost(MeshRequestKind kind, long firstAttemptNanos, boolean isRetry) {
    for (Sums sums : sumsOf(kind, firstAttemptNanos)) {
      sums.lost++;
      sums.refusedRetries += isRetry ? 1 : 0;
    }
  }

  void onAttempt() {
    attempts++;
  }

  void onResponseFromOtherZone() {
    otherZoneResponses++;
  }

  /** {@return number of attempts that entry sides made at target sides} */
  public long attempts() {
    return attempts;
  }

  private Sums[] sumsOf(MeshRequestKind kind, long firstAttemptNanos) {
    long window = (long) (firstAttemptNanos / WINDOW_NANOS);
    return new Sums[] {
      byKind.computeIfAbsent(kind.rule().value(), name -> new Sums()),
      byWindow.computeIfAbsent(window, number -> new Sums())
    };
  }

  /** {@return share of the offered worth that was earned} */
  public double worth() {
    double offeredWorth = byKind.values().stream().mapToDouble(sums -> sums.offeredWorth).sum();
    return byKind.values().stream().mapToDouble(sums -> sums.earnedWorth).sum() / offeredWorth;
  }

  /** {@return share of the requests that were served, within their objective or later} */
  public double served() {
    double requests = byKind.values().stream().mapToDouble(sums -> sums.requests).sum();
    return byKind.values().stream().mapToDouble(s -> s.inTime + s.late).sum() / requests;
  }

  /** {@return the lowest share of the worth that was earned among the kinds} */
  public double worstKind() {
    return byKind.values().stream()
        .mapToDouble(s -> s.earnedWorth / s.offeredWorth)
        .min()
        .orElse(0);
  }

  /** {@return mean share of the worth that was earned in the two worst windows of two seconds} */
  public double worstWindows() {
    return byWindow.values().stream()
        .mapToDouble(sums -> sums.earnedWorth / sums.offeredWorth)
        .sorted()
        .limit(2)
        .average()
        .orElse(0);
  }

  /** {@return share of the requests whose retry was refused too} */
  public double refusedRetries() {
    double requests = byKind.values().stream().mapToDouble(sums -> sums.requests).sum();
    return byKind.values().stream().mapToDouble(s -> s.refusedRetries).sum() / requests;
  }

  /** {@return the totals as one line, followed by one line for each kind} */
  public String render() {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "worth %.3f worst-windows %.3f worst-kind %.3f served %.3f refused-again %.3f asked %d far-answers %d%n",
            worth(),
            worstWindows(),
            worstKind(),
            served(),
            refusedRetries(),
            attempts,
            otherZoneResponses));
    byKind.forEach(
        (name, s) ->
            text.append(
                String.format(
                    Locale.ROOT,
                    "  %-14s requests %d in-time %d late %d lost %d%n",
                    name,
                    s.requests,
                    s.inTime,
                    s.late,
                    s.lost)));
    return text.toString();
  }
}
