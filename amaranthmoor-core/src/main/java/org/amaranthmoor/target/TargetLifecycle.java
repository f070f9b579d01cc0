package org.amaranthmoor.target;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.model.ServedService;

/**
 * Tracks the runs of this node's target from the reports that the target sends.
 *
 * <p>Handles late, repeated and reordered reports, restarts of the target under its old id, and
 * restarts of this node. Invariants: a run that is leaving, or whose address was found to belong to
 * another target, never receives requests again; reports of an earlier run or with an earlier
 * sequence number change nothing. While it is not known which leaves an earlier process of this
 * node acknowledged, a run is ready only after its reports span {@link #MIN_REPORT_SPAN_NANOS},
 * because a single report may have been sent before the run left and delivered late. Safe for use
 * by several threads.
 */
public final class TargetLifecycle {

  /**
   * Time that reports must span while earlier acknowledgements are not known, in nanoseconds: a
   * late report comes alone.
   */
  public static final long MIN_REPORT_SPAN_NANOS = 2_500_000_000L;

  /** Time without reports after which a target is not ready, in nanoseconds. */
  static final long REPORT_TIMEOUT_NANOS = 12_000_000_000L;

  private static final int MAX_GONE_RUNS = 64;

  /**
   * One report of a target.
   *
   * @param run the run that reports
   * @param sequence rises with each report of a run
   * @param serving the service and capacity that it offers
   * @param host the IP address at which it accepts requests
   * @param port the port at which it accepts requests
   * @param leaving whether it is about to stop
   * @param coldLeftNanos remaining time of its cold start, in which it is slow, in nanoseconds; 0
   *     if it is warm or does not report it
   */
  public record Report(
      TargetRun run,
      long sequence,
      ServedService serving,
      String host,
      int port,
      boolean leaving,
      long coldLeftNanos) {}

  /** Effect of a report. */
  public enum Change {
    /** The report is outdated and was ignored. */
    STALE,
    /** The report changed nothing. */
    NONE,
    /** The target has become ready, or a ready one has changed its service. */
    READY,
    /** The target is leaving. */
    LEAVING
  }

  private final Set<TargetRun> gone = new LinkedHashSet<>();
  private Optional<Report> newest = Optional.empty();
  private long firstReportNanos;
  private long lastReportNanos;
  private boolean historyKnown;

  /**
   * Creates a lifecycle without a target.
   *
   * @param historyKnown whether no earlier process of this node can have acknowledged a leave
   */
  public TargetLifecycle(boolean historyKnown) {
    this.historyKnown = historyKnown;
  }

  /**
   * Applies a report.
   *
   * @param report the report
   * @param nowNanos the current time
   * @return its effect
   */
  public synchronized Change onReport(Report report, long nowNanos) {
    if (gone.contains(report.run())) {
      return report.leaving() ? Change.LEAVING : Change.STALE;
    }
    if (newest.isPresent() && isOlder(report, newest.get())) {
      return Change.STALE;
    }
    boolean readyBefore = ready(nowNanos).isPresent();
    if (newest.isEmpty() || !newest.get().run().equals(report.run())) {
      newest.ifPresent(old -> addGone(old.run()));
      firstReportNanos = nowNanos;
    }
    boolean same = newest.isPresent() && newest.get().serving().equals(report.serving());
    newest = Optional.of(report);
    lastReportNanos = nowNanos;
    if (report.leaving()) {
      addGone(report.run());
      return Change.LEAVING;
    }
    boolean changed = ready(nowNanos).isPresent() && !(readyBefore && same);
    return changed ? Change.READY : Change.NONE;
  }

  private static boolean isOlder(Report report, Report known) {
    if (report.run().equals(known.run())) {
      return report.sequence() <= known.sequence();
    }
    return report.run().startedMillis() < known.run().startedMillis();
  }

  private boolean addGone(TargetRun run) {
    boolean added = gone.add(run);
    if (gone.size() > MAX_GONE_RUNS) {
      gone.remove(gone.iterator().next());
    }
    return added;
  }

  /**
   * Records that a run has left, that its leave was acknowledged before, or that it has lost its
   * address to another target.
   *
   * @param run the run
   * @return whether the run was not yet recorded as gone
   */
  public synchronized boolean onGone(TargetRun run) {
    return addGone(run);
  }

  /**
   * Returns whether a run no longer accepts requests.
   *
   * @param run the run
   * @return whether it is leaving or has left, from any source
   */
  public synchronized boolean isGone(TargetRun run) {
    return gone.contains(run);
  }

  /**
   * Records that the run with an id is gone, whatever its start time.
   *
   * @param id the id
   * @return the newest run if it has this id, otherwise a run with the id and a start time of 0
   */
  public synchronized TargetRun onGone(String id) {
    TargetRun run =
        newest.map(Report::run).filter(known -> known.id().equals(id)).orElse(new TargetRun(id, 0));
    addGone(run);
    return run;
  }

  /** Records that all leaves that earlier processes of this node acknowledged are known now. */
  public synchronized void onHistoryKnown() {
    historyKnown = true;
  }

  /** {@return whether all leaves that earlier processes of this node acknowledged are known} */
  public synchronized boolean historyKnown() {
    return historyKnown;
  }

  /**
   * Returns the target to which requests may be handed over.
   *
   * @param nowNanos the current time
   * @return its newest report, or empty if no target is ready
   */
  public synchronized Optional<Report> ready(long nowNanos) {
    return newest
        .filter(report -> !report.leaving() && !gone.contains(report.run()))
        .filter(report -> nowNanos - lastReportNanos < REPORT_TIMEOUT_NANOS)
        .filter(
            report ->
                (historyKnown && !leftById(report.run()))
                    || lastReportNanos - firstReportNanos >= MIN_REPORT_SPAN_NANOS);
  }

  // A leave without a start time may belong to this run, and the report may be older than the
  // leave.
  private boolean leftById(TargetRun run) {
    return gone.contains(new TargetRun(run.id(), 0));
  }

  /** {@return the newest report, even if its run is leaving or gone} */
  public synchronized Optional<Report> newest() {
    return newest;
  }
}
