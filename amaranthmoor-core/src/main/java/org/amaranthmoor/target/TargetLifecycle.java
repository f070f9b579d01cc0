package org.amaranthmoor.target;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.model.Serving;

/**
 * What the target beside this node has said of itself, in the order in which it said it.
 *
 * <p>Answers late, repeated and reordered reports, restarts of the target under its old id and
 * restarts of this node. Invariants: a run that has said that it leaves, or whose address another
 * target was found at, never takes requests again; a report of an earlier run or of an earlier
 * moment changes nothing. While it is not known what was acknowledged before this process started,
 * a run counts as ready only after reports over {@link #MIN_REPORT_SPAN_NANOS}, because a single
 * one may have been on its way since before it left. Safe for use by several threads.
 */
public final class TargetLifecycle {

  /** Time that reports must span if earlier acknowledgements are not known: a late one is alone. */
  public static final long MIN_REPORT_SPAN_NANOS = 2_500_000_000L;

  /** Time without reports after which a run counts as gone. */
  static final long REPORT_TIMEOUT_NANOS = 12_000_000_000L;

  private static final int MAX_GONE_RUNS = 64;

  /**
   * One report of a target.
   *
   * @param run the run that reports
   * @param sequence rises with each report of a run
   * @param serving what it serves
   * @param host the IP address it takes requests at
   * @param port the port it takes requests at
   * @param leaving whether it is about to stop
   * @param coldLeftNanos how much longer it stays slow after its start, in nanoseconds; 0 if it is
   *     warm or does not tell
   */
  public record Report(
      TargetRun run,
      long sequence,
      Serving serving,
      String host,
      int port,
      boolean leaving,
      long coldLeftNanos) {}

  /** What a report has changed. */
  public enum Change {
    /** Nothing, as it is older than what is known. */
    STALE,
    /** Nothing new. */
    NONE,
    /** The target takes requests from now on, or serves something else. */
    READY,
    /** The target leaves. */
    LEAVING
  }

  private final Set<TargetRun> gone = new LinkedHashSet<>();
  private Optional<Report> newest = Optional.empty();
  private long firstReportNanos;
  private long lastReportNanos;
  private boolean historyKnown;

  /**
   * Creates a life that knows no target.
   *
   * @param historyKnown whether no earlier process of this node can have acknowledged anything
   */
  public TargetLifecycle(boolean historyKnown) {
    this.historyKnown = historyKnown;
  }

  /**
   * Takes in a report.
   *
   * @param report the report
   * @param nowNanos the current time
   * @return what it has changed
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
   * Notes that a run has left, was acknowledged to leave before, or has lost its address.
   *
   * @param run the run
   * @return whether this was not known
   */
  public synchronized boolean onGone(TargetRun run) {
    return addGone(run);
  }

  /**
   * Returns whether a run takes no requests any more.
   *
   * @param run the run
   * @return whether it leaves or has left, whatever told so
   */
  public synchronized boolean isGone(TargetRun run) {
    return gone.contains(run);
  }

  /**
   * Notes that every run with an id has lost its address, whenever it started.
   *
   * @param id the id
   * @return the run that was known by it, or a run without a start
   */
  public synchronized TargetRun onGone(String id) {
    TargetRun run =
        newest.map(Report::run).filter(known -> known.id().equals(id)).orElse(new TargetRun(id, 0));
    addGone(run);
    return run;
  }

  /** Notes that all that an earlier process of this node acknowledged is known from now on. */
  public synchronized void onHistoryKnown() {
    historyKnown = true;
  }

  /** {@return whether all that an earlier process of this node acknowledged is known} */
  public synchronized boolean historyKnown() {
    return historyKnown;
  }

  /**
   * Returns the target that requests may be handed to.
   *
   * @param nowNanos the current time
   * @return its newest report, or empty if no target takes requests
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

  // A leave that names no start may be of this run, and the report may be older than the leave.
  private boolean leftById(TargetRun run) {
    return gone.contains(new TargetRun(run.id(), 0));
  }

  /** {@return the newest report, whatever it says} */
  public synchronized Optional<Report> newest() {
    return newest;
  }
}
