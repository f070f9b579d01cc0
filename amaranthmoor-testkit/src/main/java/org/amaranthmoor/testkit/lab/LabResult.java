package org.amaranthmoor.testkit.lab;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Measurements of one policy in one case.
 *
 * <p>Confined to one thread while it is filled.
 */
final class LabResult {

  private static final long MAX_MICROS = 120_000_000L;

  final Histogram all = new Histogram(MAX_MICROS, 3);
  final Map<String, Histogram> byKind = new TreeMap<>();
  long calls;
  long inDeadline;
  double workInDeadlineNanos;
  double workOfferedNanos;
  long failed;
  long refused;
  long unknown;
  long attempts;
  double wastedNanos;
  double workNanos;
  long probes;
  long refusedCritical;
  long criticalCalls;
  long uploads;
  long uploadsDone;

  void onAnswered(LabCallKind kind, long latencyNanos) {
    long micros = Math.clamp(latencyNanos / 1_000, 1, MAX_MICROS);
    all.recordValue(micros);
    byKind.computeIfAbsent(kind.name(), name -> new Histogram(MAX_MICROS, 3)).recordValue(micros);
    inDeadline++;
    workInDeadlineNanos += kind.serviceNanos();
    if (kind.name().equals("upload")) {
      uploadsDone++;
    }
  }

  double millis(double percentile) {
    return all.getValueAtPercentile(percentile) / 1_000.0;
  }

  double millis(String kind, double percentile) {
    Histogram histogram = byKind.get(kind);
    return histogram == null ? 0 : histogram.getValueAtPercentile(percentile) / 1_000.0;
  }

  double amplification() {
    return (double) attempts / Math.max(1, calls);
  }
}
