package org.amaranthmoor.daemon.mesh;

import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.TargetHealth;
import org.amaranthmoor.target.TargetLifecycle;
import org.amaranthmoor.target.TargetRun;

/**
 * Takes the reports of the target beside this node and opens and closes its target side by them.
 *
 * <p>Invariant: when a leave is acknowledged the target side has been closed, and the leave is kept
 * in the shared records if they can be written. Safe for use by several threads.
 */
public final class TargetRegistry {

  /** Requests that may wait for the target, for each slot. */
  private static final int QUEUE_PER_SLOT = 8;

  /**
   * Share of the slots that are used: beyond it targets slow down so much that they do less in all.
   */
  private static final double USED_SLOT_SHARE = 0.84;

  /** Share of the objective that the first request of a rule is expected to take. */
  private static final double FIRST_WORK_SHARE = 0.3;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final TargetLifecycle lifecycle;
  private final TargetHealth health;
  private final TargetSide targetSide;
  private final Membership membership;
  private final InstanceDirectory directory;
  private final Predicate<ServiceName> knownService;
  private final Runnable onChange;
  private final TimeSource time;
  private final EventLog log;
  // Written under the lock, read without it.
  private volatile Optional<TargetLifecycle.Report> open = Optional.empty();
  // The last run that the target side was open for.
  private Optional<TargetRun> newestRun = Optional.empty();
  private boolean leaving;
  private boolean stopping;

  TargetRegistry(
      TargetLifecycle lifecycle,
      TargetHealth health,
      TargetSide targetSide,
      Membership membership,
      InstanceDirectory directory,
      Predicate<ServiceName> knownService,
      Runnable onChange,
      TimeSource time,
      EventLog log) {
    this.lifecycle = lifecycle;
    this.health = health;
    this.targetSide = targetSide;
    this.membership = membership;
    this.directory = directory;
    this.knownService = knownService;
    this.onChange = onChange;
    this.time = time;
    this.log = log;
    targetSide.close(ResultCode.TARGET_ABSENT);
  }

  /**
   * Takes in a report of the target. Blocks until a leave is kept, within the time limit of the
   * shared records.
   *
   * @param report the report
   * @return whether it is to be acknowledged; a report of an unknown service is not
   */
  public boolean onReport(TargetLifecycle.Report report) {
    if (!knownService.test(report.serving().service())) {
      log.warn(
          "target-report-ignored",
          () -> "run=" + report.run().id() + " unknown-service=" + report.serving().service());
      return false;
    }
    TargetLifecycle.Change change = lifecycle.onReport(report, time.nanos());
    if (change != TargetLifecycle.Change.NONE) {
      log.info(
          "target-report",
          () ->
              "run="
                  + report.run().id()
                  + " started-millis="
                  + report.run().startedMillis()
                  + " sequence="
                  + report.sequence()
                  + " service="
                  + report.serving().service()
                  + " leaving="
                  + report.leaving()
                  + " cold-left-ms="
                  + report.coldLeftNanos() / NANOS_PER_MILLI
                  + " change="
                  + change);
    }
    refresh();
    if (change == TargetLifecycle.Change.READY || change == TargetLifecycle.Change.NONE) {
      targetSide.onCold(report.coldLeftNanos());
    }
    if (change == TargetLifecycle.Change.LEAVING) {
      directory.keepLeft(report.run());
    }
    return true;
  }

  /**
   * Takes in that a run of the target leaves. Blocks until that is kept, within the time limit of
   * the shared records.
   *
   * @param run the run; a start of 0 means every run with its id
   */
  public void onLeave(TargetRun run) {
    lifecycle.onGone(run);
    TargetRun left = run.startedMillis() == 0 ? lifecycle.onGone(run.id()) : run;
    log.info("target-leave", () -> "run=" + left.id() + " started-millis=" + left.startedMillis());
    refresh();
    directory.keepLeft(left);
  }

  /** Opens or closes the target side by what is known now. Called several times a second. */
  synchronized void refresh() {
    Optional<TargetLifecycle.Report> ready =
        lifecycle.ready(time.nanos()).filter(report -> !stopping);
    boolean sameRun =
        open.map(TargetLifecycle.Report::run).equals(ready.map(TargetLifecycle.Report::run));
    boolean sameServing =
        open.map(TargetLifecycle.Report::serving)
            .equals(ready.map(TargetLifecycle.Report::serving));
    if (sameRun && sameServing) {
      return;
    }
    open = ready;
    if (ready.isPresent()) {
      if (!sameRun) {
        health.reset();
      }
      if (!newestRun.equals(ready.map(TargetLifecycle.Report::run))) {
        newestRun = ready.map(TargetLifecycle.Report::run);
        targetSide.onNewRun();
      }
      targetSide.open(limits(ready.get().serving().slots()));
    } else {
      targetSide.close(ResultCode.TARGET_ABSENT);
    }
    announce();
    log.info(
        "target-side",
        () ->
            "open="
                + ready.isPresent()
                + ready.map(report -> " run=" + report.run().id()).orElse(""));
    onChange.run();
  }

  private void announce() {
    Optional<ServedService> offered = leaving ? Optional.empty() : serving();
    membership.setServedService(offered, offered.isEmpty());
  }

  /** {@return what the target side is open for} */
  Optional<ServedService> serving() {
    return open.map(TargetLifecycle.Report::serving);
  }

  private static Admission.Limits limits(int slots) {
    int concurrency = Math.max(1, (int) (slots * USED_SLOT_SHARE));
    return new Admission.Limits(slots, slots * QUEUE_PER_SLOT, concurrency, FIRST_WORK_SHARE);
  }

  /** Tells other nodes to send nothing more; the target side stays open for this node's callers. */
  synchronized void leave() {
    leaving = true;
    announce();
  }

  /** Closes the target side for good; requests in progress go on. */
  synchronized void stop() {
    stopping = true;
    refresh();
  }
}
