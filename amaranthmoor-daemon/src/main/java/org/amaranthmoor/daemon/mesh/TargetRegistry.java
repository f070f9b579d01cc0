package org.amaranthmoor.daemon.mesh;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.ColdStart;
import org.amaranthmoor.target.TargetHealth;
import org.amaranthmoor.target.TargetLifecycle;
import org.amaranthmoor.target.TargetRun;

/**
 * Receives the reports of the target beside this node, and opens and closes the target side
 * accordingly.
 *
 * <p>Invariants: when a leave is acknowledged, the target side has been closed for the run, the
 * leave has been announced to other nodes, and it is stored in the shared records if they can be
 * written; the target side is closed while the operator has evacuated the availability zone. Safe
 * for use by several threads.
 */
public final class TargetRegistry {

  /** Number of requests that may wait for the target, per slot. */
  private static final int QUEUED_REQUESTS_PER_SLOT = 8;

  /**
   * Share of the slots that are used; with more, targets slow down so much that their throughput
   * falls.
   */
  private static final double USED_SLOT_SHARE = 0.84;

  /** Share of the time until its objective that the first request of a rule is expected to take. */
  private static final double INITIAL_WORK_SHARE = 0.3;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final TargetLifecycle lifecycle;
  private final TargetHealth health;
  private final TargetSide targetSide;
  private final Membership membership;
  private final InstanceDirectory directory;
  private final Predicate<ServiceName> isKnownService;
  private final Function<ServiceName, ColdStart> coldStarts;
  private final BooleanSupplier zoneEvacuated;
  private final Runnable onTargetSideChange;
  private final RestartConfirmation confirmation;
  private final TimeSource time;
  private final EventLog log;
  // The report that the target side is open for. Written under the lock, read without it.
  private volatile Optional<TargetLifecycle.Report> openReport = Optional.empty();
  // The last run that the target side was opened for.
  private Optional<TargetRun> lastOpenRun = Optional.empty();
  private boolean zoneWasEvacuated;
  // Whether the target side is not as openReport states, because a failure kept it from that.
  private boolean refreshIncomplete;
  private boolean draining;
  private boolean stopping;

  TargetRegistry(
      TargetLifecycle lifecycle,
      TargetHealth health,
      TargetSide targetSide,
      Membership membership,
      InstanceDirectory directory,
      Predicate<ServiceName> isKnownService,
      Function<ServiceName, ColdStart> coldStarts,
      BooleanSupplier zoneEvacuated,
      Runnable onTargetSideChange,
      RestartConfirmation confirmation,
      TimeSource time,
      EventLog log) {
    this.lifecycle = lifecycle;
    this.health = health;
    this.targetSide = targetSide;
    this.membership = membership;
    this.directory = directory;
    this.isKnownService = isKnownService;
    this.coldStarts = coldStarts;
    this.zoneEvacuated = zoneEvacuated;
    this.onTargetSideChange = onTargetSideChange;
    this.confirmation = confirmation;
    this.time = time;
    this.log = log;
    targetSide.close(ResultCode.TARGET_ABSENT);
  }

  /**
   * Handles a report of the target. If the target is leaving, blocks until the leave is stored, for
   * at most the time limit of the shared records.
   *
   * @param report the report
   * @return whether to acknowledge the report; false if its service is not configured
   */
  public boolean onReport(TargetLifecycle.Report report) {
    if (!isKnownService.test(report.serving().service())) {
      log.warn(
          "target-report-ignored",
          () -> "run=" + report.run().id() + " unknown-service=" + report.serving().service());
      return false;
    }
    TargetLifecycle.Change change = lifecycle.onReport(report, time.nanos());
    // Before the target side opens, so that a cold target never gets the load of a warm one.
    if (change == TargetLifecycle.Change.READY || change == TargetLifecycle.Change.NONE) {
      targetSide.onCold(report.coldLeftNanos());
    }
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
    if (change == TargetLifecycle.Change.LEAVING) {
      directory.storeLeave(report.run());
    }
    return true;
  }

  /**
   * Records that a run of the target leaves. Blocks until the leave is stored, for at most the time
   * limit of the shared records.
   *
   * @param run the run; a start time of 0 denotes any run with its id
   */
  public void onLeave(TargetRun run) {
    lifecycle.onGone(run);
    TargetRun leftRun = run.startedMillis() == 0 ? lifecycle.onGone(run.id()) : run;
    log.info(
        "target-leave", () -> "run=" + leftRun.id() + " started-millis=" + leftRun.startedMillis());
    refresh();
    directory.storeLeave(leftRun);
  }

  /**
   * Opens or closes the target side according to the current state of the target. Called several
   * times a second.
   */
  synchronized void refresh() {
    confirmation.checkIfNeeded(this::refresh);
    boolean evacuated = zoneEvacuated.getAsBoolean();
    Optional<TargetLifecycle.Report> ready =
        lifecycle.ready(time.nanos()).filter(report -> !stopping && !evacuated);
    ready.ifPresent(
        report -> targetSide.setColdStart(coldStarts.apply(report.serving().service())));
    if (zoneWasEvacuated && !evacuated) {
      targetSide.assumeCold();
    }
    zoneWasEvacuated = evacuated;
    boolean sameRun =
        openReport.map(TargetLifecycle.Report::run).equals(ready.map(TargetLifecycle.Report::run));
    boolean sameService =
        openReport
            .map(TargetLifecycle.Report::serving)
            .equals(ready.map(TargetLifecycle.Report::serving));
    if (sameRun && sameService && !refreshIncomplete) {
      return;
    }
    refreshIncomplete = true;
    if (ready.isPresent() && !sameRun) {
      health.reset();
    }
    openReport = ready;
    if (ready.isPresent()) {
      if (!lastOpenRun.equals(ready.map(TargetLifecycle.Report::run))) {
        targetSide.onNewRun();
        lastOpenRun = ready.map(TargetLifecycle.Report::run);
      }
      targetSide.open(admissionLimits(ready.get().serving().slots()));
    } else {
      targetSide.close(evacuated ? ResultCode.ZONE_EVACUATED : ResultCode.TARGET_ABSENT);
    }
    announceServedService();
    log.info(
        "target-side",
        () ->
            "open="
                + ready.isPresent()
                + " zone-evacuated="
                + evacuated
                + ready.map(report -> " run=" + report.run().id()).orElse(""));
    onTargetSideChange.run();
    refreshIncomplete = false;
  }

  private void announceServedService() {
    Optional<ServedService> announced = draining ? Optional.empty() : servedService();
    membership.setServedService(announced, announced.isEmpty());
  }

  /** {@return the service that the target side is open for, or empty if it is closed} */
  Optional<ServedService> servedService() {
    return openReport.map(TargetLifecycle.Report::serving);
  }

  private static Admission.Limits admissionLimits(int slots) {
    int concurrency = Math.max(1, (int) (slots * USED_SLOT_SHARE));
    return new Admission.Limits(
        slots, slots * QUEUED_REQUESTS_PER_SLOT, concurrency, INITIAL_WORK_SHARE);
  }

  /**
   * Announces to other nodes that they must send no more requests; the target side stays open for
   * this node's callers.
   */
  synchronized void announceDrain() {
    draining = true;
    announceServedService();
  }

  /** Closes the target side permanently; requests in progress continue. */
  synchronized void stop() {
    stopping = true;
    refresh();
  }
}
