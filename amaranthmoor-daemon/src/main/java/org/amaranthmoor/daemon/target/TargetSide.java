package org.amaranthmoor.daemon.target;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.DeadlineWatch;
import org.amaranthmoor.daemon.exchange.EndNotifyingBody;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.daemon.exchange.RequestQuarantine;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.model.CallId;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.Admission.Decision;
import org.amaranthmoor.target.ColdStart;
import org.amaranthmoor.target.KeyLedger;
import org.amaranthmoor.target.KeyOwnership;
import org.amaranthmoor.target.RunNotice;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;

/**
 * Runs requests at the target beside this node: admits, queues or refuses each request, and hands
 * admitted ones over to the target.
 *
 * <p>Invariants: a request whose outcome is {@link Outcome.NotRun} was never written to the target
 * or the target has refused it without running it; a request whose idempotency key was claimed
 * before is never handed over. Safe for use by several threads; each request blocks the thread that
 * runs it.
 */
public final class TargetSide {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  // Created in advance, as a full heap may be the cause.
  private static final Outcome<CallResponse> FAILED_BEFORE_HAND_OVER =
      new Outcome.NotRun<>(ResultCode.OVERLOADED, 0, "the target side failed before the hand-over");
  private static final Outcome<CallResponse> FAILED_AFTER_HAND_OVER =
      new Outcome.Unknown<>(ResultCode.NODE_FAILED, "the target side failed unexpectedly");

  /**
   * Longest time to connect to the target, in nanoseconds. The target is on this machine, and a
   * lost SYN packet is retransmitted only after a second, by which time the request is better
   * served by another target.
   */
  private static final long CONNECT_TIMEOUT_NANOS = 250_000_000L;

  private final Admission admission;
  private final KeyLedger<StoredResponse> keys;
  private final AtomicReference<KeyOwnership> ownership;
  private final LocalTarget localTarget;
  private final TargetDialect dialect;
  private final TargetConnectionPool connections;
  private final DeadlineWatch deadlineWatch;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final EventLog log;
  private final RequestQuarantine quarantine;
  private final CrashDetector crashDetector;
  private final AtomicInteger inProgress = new AtomicInteger();
  // The attempt number of each request that is in progress at the target.
  private final Map<CallId, Integer> runningAttempts = new ConcurrentHashMap<>();

  /**
   * Creates a target side.
   *
   * @param admission decides on admission by the exact load
   * @param keys stores idempotency keys and their responses
   * @param ownership decides which keys may be claimed here
   * @param localTarget the target
   * @param dialect maps calls to the headers of the target
   * @param connections connections to the target
   * @param deadlineWatch aborts exchanges that are overdue
   * @param quarantine refuses requests that must reach no target
   * @param crashListener is told which requests were in progress when the target crashed
   * @param metrics counts refusals and waiting times
   * @param time the clock
   * @param log receives refusals and exchanges
   */
  public TargetSide(
      Admission admission,
      KeyLedger<StoredResponse> keys,
      AtomicReference<KeyOwnership> ownership,
      LocalTarget localTarget,
      TargetDialect dialect,
      TargetConnectionPool connections,
      DeadlineWatch deadlineWatch,
      RequestQuarantine quarantine,
      CrashListener crashListener,
      NodeMetrics metrics,
      TimeSource time,
      EventLog log) {
    this.admission = admission;
    this.keys = keys;
    this.ownership = ownership;
    this.localTarget = localTarget;
    this.dialect = dialect;
    this.connections = connections;
    this.deadlineWatch = deadlineWatch;
    this.metrics = metrics;
    this.time = time;
    this.log = log;
    this.quarantine = quarantine;
    this.crashDetector =
        new CrashDetector(localTarget, connections, quarantine, crashListener, time, log);
  }

  /**
   * Runs a request. An unexpected failure, an {@link Error} among them, ends this request only.
   *
   * @param call the request
   * @return the outcome; a streamed response holds the slot until it is read to its end or closed
   */
  public Outcome<CallResponse> run(InboundCall call) {
    inProgress.incrementAndGet();
    boolean streams = false;
    try {
      Outcome<CallResponse> outcome = withLoad(runDeduplicated(call));
      streams =
          outcome instanceof Outcome.Answered<CallResponse> answered
              && answered.response().body() instanceof CallResponse.Body.Streamed;
      return outcome;
    } catch (RuntimeException | Error e) {
      Outcome<CallResponse> outcome = failedOutcome(call);
      log.warn(
          "target-side-failed",
          () -> "id=" + call.request().id() + " error=" + EventLog.quote(e.toString()));
      return outcome;
    } finally {
      if (!streams) {
        inProgress.decrementAndGet();
      }
    }
  }

  // A request that is fenced is not run and never will be.
  private static Outcome<CallResponse> failedOutcome(InboundCall call) {
    return call.handOver().fence() ? FAILED_BEFORE_HAND_OVER : FAILED_AFTER_HAND_OVER;
  }

  private Outcome<CallResponse> runDeduplicated(InboundCall call) {
    Optional<IdempotencyKey> key = call.request().key();
    if (key.isEmpty()) {
      return admitAndRun(call);
    }
    Optional<Outcome<CallResponse>> settled = claimKey(key.get());
    if (settled.isPresent()) {
      return settled.get();
    }
    boolean recorded = false;
    try {
      Outcome<CallResponse> outcome = admitAndRun(call);
      recordOutcome(key.get(), outcome);
      recorded = true;
      return outcome;
    } finally {
      if (!recorded) {
        recordOutcome(key.get(), failedOutcome(call));
      }
    }
  }

  private Optional<Outcome<CallResponse>> claimKey(IdempotencyKey key) {
    return switch (ownership.get().statusOf(key, time.nanos())) {
      case NOT_OWNER ->
          notRun(
              ResultCode.NOT_HOME,
              "this node is not the owner of the idempotency key or holds no lease");
      case UNCERTAIN -> findKey(key).or(() -> unknown(ResultCode.KEY_OUTCOME_LOST));
      case EXCLUSIVE -> toOutcome(keys.claim(key, time.wallMillis()));
    };
  }

  private Optional<Outcome<CallResponse>> findKey(IdempotencyKey key) {
    return keys.find(key).flatMap(this::toOutcome);
  }

  private Optional<Outcome<CallResponse>> toOutcome(KeyLedger.Claim<StoredResponse> claim) {
    return switch (claim) {
      case KeyLedger.Claim.Fresh<StoredResponse> fresh -> Optional.empty();
      case KeyLedger.Claim.InProgress<StoredResponse> earlier ->
          unknown(ResultCode.KEY_IN_PROGRESS);
      case KeyLedger.Claim.OutcomeUnknown<StoredResponse> ran ->
          unknown(ResultCode.KEY_RAN_UNKNOWN);
      case KeyLedger.Claim.TooOld<StoredResponse> old -> unknown(ResultCode.KEY_TOO_OLD);
      case KeyLedger.Claim.Full<StoredResponse> full ->
          notRun(ResultCode.KEY_LEDGER_FULL, "the ledger of idempotency keys is full");
      case KeyLedger.Claim.Answered<StoredResponse> answered ->
          Optional.of(
              answered
                  .answer()
                  .<Outcome<CallResponse>>map(a -> new Outcome.Answered<>(a.replay()))
                  .orElseGet(() -> new Outcome.Answered<>(responseNotStored())));
    };
  }

  private static CallResponse responseNotStored() {
    return new CallResponse(
        ResultCode.KEY_ALREADY_ANSWERED.httpStatus(),
        List.of(
            new HeaderField(
                CallHeaders.CODE, Integer.toString(ResultCode.KEY_ALREADY_ANSWERED.number()))),
        new CallResponse.Body.Buffered(new byte[0]),
        Optional.empty());
  }

  private void recordOutcome(IdempotencyKey key, Outcome<CallResponse> outcome) {
    switch (outcome) {
      case Outcome.Answered<CallResponse> answered -> recordResponse(key, answered.response());
      case Outcome.NotRun<CallResponse> notRun -> keys.release(key);
      case Outcome.Unknown<CallResponse> unknown -> keys.onOutcomeUnknown(key);
    }
  }

  private void recordResponse(IdempotencyKey key, CallResponse response) {
    boolean recorded = false;
    try {
      keys.onAnswered(key, StoredResponse.of(response));
      recorded = true;
    } finally {
      if (!recorded) {
        response.close();
      }
    }
  }

  private Outcome<CallResponse> admitAndRun(InboundCall call) {
    CallRequest request = call.request();
    long now = time.nanos();
    Optional<ResultCode> refusal =
        localTarget.refusalCode(request.service(), request.rule(), request.idempotent(), now);
    if (refusal.isPresent()) {
      return refuse(request, refusal.get(), 0);
    }
    Optional<Outcome.NotRun<CallResponse>> quarantined = quarantine.refusal(request);
    if (quarantined.isPresent()) {
      return refuse(request, quarantined.get().code(), quarantined.get().retryAfterMillis());
    }
    SlotWaiter waiter = new SlotWaiter(request);
    boolean ended = false;
    try {
      Outcome<CallResponse> outcome = runIfAdmitted(call, waiter, now);
      ended = true;
      return outcome;
    } finally {
      if (!ended) {
        waiter.leave(admission, -1, time);
      }
    }
  }

  private Outcome<CallResponse> runIfAdmitted(InboundCall call, SlotWaiter waiter, long now) {
    CallRequest request = call.request();
    Decision decision = admission.offer(waiter, now);
    if (decision instanceof Decision.Queued) {
      decision = awaitSlot(call, waiter);
      metrics.recordTargetWait(time.nanos() - now);
    }
    return switch (decision) {
      case Decision.Admitted admitted -> handOver(call, waiter);
      case Decision.Refused refused -> refuse(request, refused.code(), refused.retryAfterMillis());
      case Decision.Queued queued ->
          throw new IllegalStateException("the request is still queued after the wait");
    };
  }

  private Decision awaitSlot(InboundCall call, SlotWaiter waiter) {
    call.onCancel(() -> waiter.withdraw(admission, ResultCode.CANCELLED, time));
    try {
      return waiter.await(admission, time);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return waiter.withdraw(admission, ResultCode.CANCELLED, time);
    } finally {
      call.clearOnCancel();
    }
  }

  private Outcome<CallResponse> handOver(InboundCall call, SlotWaiter waiter) {
    CallRequest request = call.request();
    Optional<LocalTarget.Destination> destination =
        localTarget.destination(request.service(), time.nanos());
    if (destination.isEmpty()) {
      return releaseUnused(
          waiter, ResultCode.TARGET_ABSENT, "the target left before the request was handed over");
    }
    TargetConnection connection;
    try {
      connection =
          connections.acquire(
              destination.get().address(), request.idempotent(), connectTimeoutNanos(request));
    } catch (IOException e) {
      localTarget.onConnectionRefused(time.nanos());
      return releaseUnused(
          waiter, ResultCode.TARGET_UNREACHABLE, "the target did not accept a connection");
    }
    TargetExchange exchange;
    boolean passedOn = false;
    try {
      // The target may have left while the connection was opened.
      Optional<ResultCode> refusal =
          localTarget.destination(request.service(), time.nanos()).equals(destination)
              ? checkAndCommit(call)
              : Optional.of(ResultCode.TARGET_ABSENT);
      if (refusal.isPresent()) {
        passedOn = true;
        connections.release(connection);
        return releaseUnused(
            waiter, refusal.get(), "the request was not handed over to the target");
      }
      exchange = createExchange(call, waiter, destination.get(), connection);
      passedOn = true;
    } finally {
      if (!passedOn) {
        connection.abort();
      }
    }
    return exchange.run();
  }

  // The exchange returns the connection and the slot from now on, however it ends.
  private TargetExchange createExchange(
      InboundCall call,
      SlotWaiter waiter,
      LocalTarget.Destination destination,
      TargetConnection connection) {
    CallRequest request = call.request();
    long startNanos = time.nanos();
    CrashDetector.HandedOver handedOver =
        crashDetector.createHandedOver(request, destination, startNanos);
    return new TargetExchange(
        call,
        destination.run(),
        dialect,
        connection,
        connections,
        deadlineWatch,
        time,
        () -> {
          admission.onHandOver(waiter, startNanos);
          if (!request.id().equals(CallId.NONE)) {
            runningAttempts.put(request.id(), request.attempt());
          }
          crashDetector.onHandOver(handedOver);
        },
        notice -> onNotice(destination, notice, startNanos),
        end -> finish(waiter, handedOver, end));
  }

  // The limit that an earlier run states does not apply to the run that takes requests now.
  private void onNotice(LocalTarget.Destination destination, TargetNotice notice, long startNanos) {
    destination.run().ifPresent(run -> localTarget.onNotice(run, notice));
    if (destination.run().equals(localTarget.newestRun())) {
      admission.onLimit(notice.limit(), startNanos, time.nanos());
    }
  }

  private long connectTimeoutNanos(CallRequest request) {
    return Math.min(CONNECT_TIMEOUT_NANOS, request.deadlineNanos() - time.nanos());
  }

  private Outcome<CallResponse> refuse(CallRequest request, ResultCode code, long retryMillis) {
    metrics.countTargetRefusal(code);
    log.requestFailed(
        "target-refusal",
        () ->
            "id="
                + request.id()
                + " rule="
                + request.rule()
                + " code="
                + code
                + " left-ms="
                + (request.deadlineNanos() - time.nanos()) / NANOS_PER_MILLI
                + " "
                + admission.describe(time.nanos())
                + (request.nested() ? "" : admission.describeShare(request.team(), time.nanos())));
    return new Outcome.NotRun<>(code, retryMillis, "refused by the target side");
  }

  private Outcome<CallResponse> releaseUnused(SlotWaiter waiter, ResultCode code, String detail) {
    waiter.leave(admission, -1, time);
    return new Outcome.NotRun<>(code, 0, detail);
  }

  private void finish(SlotWaiter waiter, CrashDetector.HandedOver request, TargetExchange.End end) {
    try {
      // Before the slot is released, as the next request must not go to a target that has ended.
      crashDetector.onEnd(request, end);
    } finally {
      release(waiter, request, end);
    }
  }

  private void release(
      SlotWaiter waiter, CrashDetector.HandedOver request, TargetExchange.End end) {
    long startNanos = request.startNanos();
    long now = time.nanos();
    RuleName rule = waiter.request().rule();
    runningAttempts.remove(waiter.request().id());
    try {
      logExchange(waiter, end, startNanos, now);
      end.slowdown().ifPresent(factor -> admission.onSlowdown(factor, now));
    } finally {
      waiter.leave(admission, end.measuresServiceTime() ? now - startNanos : -1, time);
    }
    switch (end.kind()) {
      case ANSWERED, REFUSED -> localTarget.onExchangeEnd(rule, false, now);
      case BROKEN -> localTarget.onExchangeEnd(rule, true, now);
      case SILENT -> localTarget.onTimeout(rule, startNanos, now);
      case REPLACED -> request.destination().run().ifPresent(localTarget::onReplaced);
      case CANCELLED -> {}
    }
  }

  private void logExchange(SlotWaiter waiter, TargetExchange.End end, long startNanos, long now) {
    log.requestSucceeded(
        "target-exchange",
        () ->
            "id="
                + waiter.request().id()
                + " rule="
                + waiter.request().rule()
                + " attempt="
                + waiter.request().attempt()
                + " needed="
                + waiter.request().nested()
                + " end="
                + end.kind()
                + " held-ms="
                + (now - startNanos) / NANOS_PER_MILLI
                + " "
                + admission.describe(now)
                + " slowdown="
                + end.slowdown());
  }

  // Makes the last checks and commits the request; only the hand-over follows.
  private Optional<ResultCode> checkAndCommit(InboundCall call) {
    CallRequest request = call.request();
    if (request.deadlineNanos() <= time.nanos()) {
      return Optional.of(ResultCode.DEADLINE_BEFORE_START);
    }
    boolean exclusive =
        request.key().isEmpty()
            || ownership.get().statusOf(request.key().get(), time.nanos())
                == KeyOwnership.Status.EXCLUSIVE;
    if (!exclusive) {
      return Optional.of(ResultCode.NOT_HOME);
    }
    // Targets may have crashed while the request waited.
    if (quarantine.refusal(request).isPresent()) {
      return Optional.of(ResultCode.REQUEST_QUARANTINED);
    }
    if (!call.handOver().commit()) {
      return Optional.of(call.cancelled() ? ResultCode.CANCELLED : ResultCode.FENCED);
    }
    return Optional.empty();
  }

  private Outcome<CallResponse> withLoad(Outcome<CallResponse> outcome) {
    if (!(outcome instanceof Outcome.Answered<CallResponse> answered)) {
      return outcome;
    }
    CallResponse response = answered.response();
    boolean complete = false;
    try {
      CallResponse.Body body = countedUntilEnd(response.body());
      Outcome<CallResponse> result =
          new Outcome.Answered<>(
              new CallResponse(response.status(), response.headers(), body, Optional.of(load())));
      complete = true;
      return result;
    } finally {
      if (!complete) {
        response.close();
      }
    }
  }

  private CallResponse.Body countedUntilEnd(CallResponse.Body body) {
    return body instanceof CallResponse.Body.Streamed streamed
        ? new CallResponse.Body.Streamed(
            new EndNotifyingBody(
                streamed.stream(),
                streamed.length(),
                inProgress::decrementAndGet,
                inProgress::decrementAndGet),
            streamed.length())
        : body;
  }

  private static Optional<Outcome<CallResponse>> notRun(ResultCode code, String detail) {
    return Optional.of(new Outcome.NotRun<>(code, 0, detail));
  }

  private static Optional<Outcome<CallResponse>> unknown(ResultCode code) {
    return Optional.of(
        new Outcome.Unknown<>(code, "an earlier request used the same idempotency key"));
  }

  /**
   * Returns which attempt of a request is in progress at the target.
   *
   * @param id the caller's id of the request
   * @return the number of the attempt that was handed over and has not ended, 1 for the first;
   *     empty if there is none
   */
  public OptionalInt runningAttempt(CallId id) {
    Integer attempt = runningAttempts.get(id);
    return attempt == null ? OptionalInt.empty() : OptionalInt.of(attempt);
  }

  /** {@return the exact load} */
  public LoadReport load() {
    return admission.load(time.nanos());
  }

  /** Refuses new requests from now on; requests in progress continue. */
  public void drain() {
    admission.drain(time.nanos());
  }

  /**
   * Refuses new requests until {@link #open}; requests in progress continue.
   *
   * @param code the result code of the refusals
   */
  public void close(ResultCode code) {
    admission.close(code, time.nanos());
  }

  /**
   * Accepts new requests.
   *
   * @param limits the limits of the target
   */
  public void open(Admission.Limits limits) {
    admission.open(limits);
  }

  /**
   * Restores the notice that the target sent to an earlier process of this node.
   *
   * @param remembered the newest notice that another node remembers
   */
  public void restoreNotice(RunNotice remembered) {
    if (remembered.notice().leaving()) {
      localTarget.onLeaving(remembered.run());
    }
    boolean current = localTarget.newestRun().equals(Optional.of(remembered.run()));
    if (current
        && remembered.notice().limit() instanceof TargetNotice.Limit.Rate rate
        && admission.onRememberedLimit(rate.requestsPerSecond(), time.nanos())) {
      log.info(
          "target-notice-remembered",
          () -> "run=" + remembered.run().id() + " limit=" + rate.requestsPerSecond());
    }
  }

  /**
   * The load of a target side and the notice of its target.
   *
   * @param load the exact load
   * @param notice the notice of the newest run, if it has stated a limit to this process or is
   *     leaving
   */
  public record Status(LoadReport load, Optional<RunNotice> notice) {}

  /** {@return the status that each response to another node carries} */
  public Status status() {
    return new Status(load(), localTarget.newestRun().flatMap(this::notice));
  }

  private Optional<RunNotice> notice(TargetRun run) {
    Optional<TargetNotice.Limit> limit = admission.statedLimit();
    boolean leaving = localTarget.isLeaving(run);
    return limit.isEmpty() && !leaving
        ? Optional.empty()
        : Optional.of(
            new RunNotice(
                run, new TargetNotice(limit.orElseGet(TargetNotice.Limit.Unstated::new), leaving)));
  }

  /** {@return the rate limit that the target states, in requests per second; empty if none} */
  public OptionalDouble statedRate() {
    return admission.statedLimit().stream()
        .filter(TargetNotice.Limit.Rate.class::isInstance)
        .map(TargetNotice.Limit.Rate.class::cast)
        .mapToDouble(TargetNotice.Limit.Rate::requestsPerSecond)
        .findFirst();
  }

  /**
   * Discards the rate limit that the previous run stated, as another run takes requests from now
   * on.
   */
  public void onNewRun() {
    admission.forgetLimit();
  }

  /**
   * Records how much longer the target stays slow after its start.
   *
   * @param leftNanos the remaining time of its cold start in nanoseconds, 0 if it is warm
   */
  public void onCold(long leftNanos) {
    admission.onCold(leftNanos, time.nanos());
  }

  /**
   * Sets what the target takes while it is cold.
   *
   * @param coldStart the limits of its service
   */
  public void setColdStart(ColdStart coldStart) {
    admission.setColdStart(coldStart);
  }

  /** Assumes that the target is cold, as after a time in which it got no requests. */
  public void assumeCold() {
    admission.assumeCold(time.nanos());
  }

  /** {@return the number of requests in progress, including those whose response is still read} */
  public int inProgress() {
    return inProgress.get();
  }
}
