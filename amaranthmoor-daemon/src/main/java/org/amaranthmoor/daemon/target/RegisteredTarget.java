package org.amaranthmoor.daemon.target;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.target.TargetHealth;
import org.amaranthmoor.target.TargetLifecycle;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;

/**
 * A target that registers with this node by reports, and whose health is derived from its
 * responses.
 *
 * <p>Invariant: a request is handed only to the run that reported last, for the service that it
 * reported, and never while the target's availability zone is evacuated. Safe for use by several
 * threads.
 */
public final class RegisteredTarget implements LocalTarget {

  private final TargetLifecycle lifecycle;
  private final TargetHealth health;
  private final LongPredicate evacuated;
  private final Consumer<TargetRun> onLeft;
  private final EventLog log;
  // Notice of the run that responded last; a new run starts without one.
  private final AtomicReference<TargetNotice> newestNotice =
      new AtomicReference<>(TargetNotice.NONE);

  /**
   * Creates a registered target.
   *
   * @param lifecycle the reports of the target
   * @param health the health of the target
   * @param evacuated whether the operator has evacuated the target's availability zone, given the
   *     current time
   * @param onLeft called when a run is found to be leaving without having reported it; must not
   *     block
   * @param log receives changes of health and of notices
   */
  public RegisteredTarget(
      TargetLifecycle lifecycle,
      TargetHealth health,
      LongPredicate evacuated,
      Consumer<TargetRun> onLeft,
      EventLog log) {
    this.lifecycle = lifecycle;
    this.health = health;
    this.evacuated = evacuated;
    this.onLeft = onLeft;
    this.log = log;
  }

  @Override
  public Optional<ResultCode> refusalCode(
      ServiceName service, RuleName rule, boolean idempotent, long nowNanos) {
    if (evacuated.test(nowNanos)) {
      return Optional.of(ResultCode.ZONE_EVACUATED);
    }
    if (destination(service, nowNanos).isEmpty()) {
      return Optional.of(ResultCode.TARGET_ABSENT);
    }
    return health.allowsRequest(rule, idempotent, nowNanos)
        ? Optional.empty()
        : Optional.of(ResultCode.TARGET_FAILING);
  }

  @Override
  public Optional<Destination> destination(ServiceName service, long nowNanos) {
    return lifecycle
        .ready(nowNanos)
        .filter(report -> !evacuated.test(nowNanos))
        .filter(report -> report.serving().service().equals(service))
        .map(
            report ->
                new Destination(
                    Optional.of(report.run()), new Endpoint(report.host(), report.port())));
  }

  @Override
  public void onExchangeEnd(RuleName rule, boolean failed, long nowNanos) {
    if (health.onExchangeEnd(rule, failed, nowNanos)) {
      logHealth(health.failing(rule), "answers", Optional.of(rule));
    }
  }

  @Override
  public void onTimeout(RuleName rule, long startNanos, long nowNanos) {
    if (health.onTimeout(rule, startNanos, nowNanos)) {
      logHealth(health.failing(rule), "silence", Optional.of(rule));
    }
  }

  @Override
  public void onConnectionRefused(long nowNanos) {
    if (health.onConnectionRefused(nowNanos)) {
      logHealth(true, "no connection", Optional.empty());
    }
  }

  private void logHealth(boolean failing, String cause, Optional<RuleName> rule) {
    log.warn(
        "target-health",
        () ->
            "failing="
                + failing
                + " cause="
                + EventLog.quote(cause)
                + rule.map(name -> " rule=" + name).orElse(""));
  }

  @Override
  public void onReplaced(TargetRun run) {
    lifecycle.onGone(run);
    log.warn("target-replaced", () -> "run=" + run.id() + " started-millis=" + run.startedMillis());
  }

  @Override
  public void onNotice(TargetRun run, TargetNotice notice) {
    TargetNotice before = newestNotice.getAndSet(notice);
    if (!before.equals(notice)) {
      log.info(
          "target-notice",
          () ->
              "run="
                  + run.id()
                  + " limit="
                  + describe(notice.limit())
                  + " leaving="
                  + notice.leaving());
    }
    if (notice.leaving()) {
      onLeaving(run);
    }
  }

  private static String describe(TargetNotice.Limit limit) {
    return switch (limit) {
      case TargetNotice.Limit.Unstated unstated -> "none";
      case TargetNotice.Limit.Unreadable unreadable -> "unreadable";
      case TargetNotice.Limit.Rate rate -> Double.toString(rate.requestsPerSecond());
    };
  }

  @Override
  public void onLeaving(TargetRun run) {
    if (lifecycle.onGone(run)) {
      onLeft.accept(run);
    }
  }

  @Override
  public boolean isLeaving(TargetRun run) {
    return lifecycle.isGone(run);
  }

  @Override
  public Optional<TargetRun> newestRun() {
    return lifecycle.newest().map(TargetLifecycle.Report::run);
  }
}
