package org.amaranthmoor.testkit.mesh;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** What became of the requests of a run. Confined to one thread. */
public final class MeshResult {

  private static final double WINDOW_NANOS = 2e9;

  private static final class Sums {
    private double owed;
    private double earned;
    private int requests;
    private int inTime;
    private int late;
    private int lost;
    private int refusedAgain;
  }

  private final Map<String, Sums> byKind = new LinkedHashMap<>();
  private final Map<Long, Sums> byWindow = new LinkedHashMap<>();
  private long asked;
  private long farAnswers;

  MeshResult() {}

  void onOwed(MeshRequestKind kind, long firstNanos) {
    for (Sums sums : of(kind, firstNanos)) {
      sums.requests++;
      sums.owed += kind.worth();
    }
  }

  void onServed(MeshRequestKind kind, long firstNanos, long endNanos) {
    boolean inTime = endNanos - firstNanos <= kind.objectiveMillis() * MeshClock.MILLI;
    for (Sums sums : of(kind, firstNanos)) {
      sums.earned += kind.worth() * (inTime ? 1 : MeshRequestKind.LATE_SHARE);
      sums.inTime += inTime ? 1 : 0;
      sums.late += inTime ? 0 : 1;
    }
  }

  void onLost(MeshRequestKind kind, long firstNanos, boolean again) {
    for (Sums sums : of(kind, firstNanos)) {
      sums.lost++;
      sums.refusedAgain += again ? 1 : 0;
    }
  }

  void onAsked() {
    asked++;
  }

  void onAnswerFromAfar() {
    farAnswers++;
  }

  /** {@return how often a target side was asked to take a request} */
  public long asked() {
    return asked;
  }

  private Sums[] of(MeshRequestKind kind, long firstNanos) {
    long window = (long) (firstNanos / WINDOW_NANOS);
    return new Sums[] {
      byKind.computeIfAbsent(kind.rule().value(), name -> new Sums()),
      byWindow.computeIfAbsent(window, number -> new Sums())
    };
  }

  /** {@return part of the worth that was earned} */
  public double worth() {
    double owed = byKind.values().stream().mapToDouble(sums -> sums.owed).sum();
    return byKind.values().stream().mapToDouble(sums -> sums.earned).sum() / owed;
  }

  /** {@return part of the requests that were answered, in time or late} */
  public double served() {
    double requests = byKind.values().stream().mapToDouble(sums -> sums.requests).sum();
    return byKind.values().stream().mapToDouble(s -> s.inTime + s.late).sum() / requests;
  }

  /** {@return the least part of the worth of a kind that was earned} */
  public double worstKind() {
    return byKind.values().stream().mapToDouble(s -> s.earned / s.owed).min().orElse(0);
  }

  /** {@return mean part of the worth that was earned in the two worst windows of two seconds} */
  public double worstWindows() {
    return byWindow.values().stream()
        .mapToDouble(sums -> sums.earned / sums.owed)
        .sorted()
        .limit(2)
        .average()
        .orElse(0);
  }

  /** {@return part of the worth that was refused to callers that had come back} */
  public double refusedAgain() {
    double requests = byKind.values().stream().mapToDouble(sums -> sums.requests).sum();
    return byKind.values().stream().mapToDouble(s -> s.refusedAgain).sum() / requests;
  }

  /** {@return the result as one line, and one for each kind} */
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
            refusedAgain(),
            asked,
            farAnswers));
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
