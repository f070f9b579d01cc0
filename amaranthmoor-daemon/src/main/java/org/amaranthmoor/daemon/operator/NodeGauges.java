package org.amaranthmoor.daemon.operator;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.target.CrashLedger;

/** Registers metrics of a node's state. Stateless and safe for use by several threads. */
public final class NodeGauges {

  private NodeGauges() {}

  /**
   * Registers the metrics that every node has.
   *
   * @param metrics receives the metrics
   * @param targetSide provides the load and the limit of the target
   * @param membership provides the members
   * @param crashLedger provides the number of quarantined requests
   * @param sourceAvailable whether the last read of the configuration from its source succeeded
   * @param configOffset offset of the configuration in force, -1 before the first
   * @param time the clock
   * @param log provides the number of suppressed log lines
   */
  public static void add(
      NodeMetrics metrics,
      TargetSide targetSide,
      Membership membership,
      CrashLedger crashLedger,
      BooleanSupplier sourceAvailable,
      LongSupplier configOffset,
      TimeSource time,
      EventLog log) {
    metrics.registerGauge(
        "amaranthmoor.config.offset",
        "Version of the configuration in force, -1 before the first",
        configOffset::getAsLong);
    metrics.registerGauge(
        "amaranthmoor.target.in.flight",
        "Requests at the target",
        () -> targetSide.load().inFlight());
    metrics.registerGauge(
        "amaranthmoor.target.queued",
        "Requests waiting for the target",
        () -> targetSide.load().queued());
    metrics.registerGauge(
        "amaranthmoor.target.limit",
        "Requests a second that the target takes by its own statement, NaN if it states none",
        () -> targetSide.statedRate().orElse(Double.NaN));
    metrics.registerGauge(
        "amaranthmoor.members.reachable",
        "Members believed alive",
        () -> membership.members().stream().filter(Member::reachable).count());
    metrics.registerGauge(
        "amaranthmoor.quarantined.requests",
        "Requests that are handed over to no target, because targets crashed when they ran them",
        () -> crashLedger.quarantinedCount(time.nanos()));
    metrics.registerGauge(
        "amaranthmoor.log.available",
        "1 if the source of the configuration answers",
        () -> sourceAvailable.getAsBoolean() ? 1 : 0);
    Runtime runtime = Runtime.getRuntime();
    metrics.registerGauge(
        "amaranthmoor.heap.used.bytes",
        "Bytes of the heap in use, including garbage that has not been collected",
        () -> runtime.totalMemory() - runtime.freeMemory());
    metrics.registerGauge(
        "amaranthmoor.heap.max.bytes", "Bytes that the heap may use at most", runtime::maxMemory);
    metrics.registerCounter(
        "amaranthmoor.log.lines.left.out",
        "Lines of the log left out by its limits, or because they could not be created",
        log::suppressedLines);
  }
}
