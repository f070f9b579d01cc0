package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.amaranthmoor.balance.AttemptPlan;
import org.amaranthmoor.balance.Ejection;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.LoadShedder;
import org.amaranthmoor.caller.RetryPolicy;
import org.amaranthmoor.config.TeamSpec;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.daemon.exchange.RequestQuarantine;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.Probe;
import org.amaranthmoor.target.HandOver;
import org.amaranthmoor.target.KeyOwners;

/**
 * Serves calls: picks a server, sends it the request, and retries where that is allowed.
 *
 * <p>Invariants: every call gets exactly one outcome; a request that is not idempotent is retried
 * only after an attempt that was not run. Safe for use by several threads; {@link #serve} blocks
 * the calling thread.
 */
public final class EntrySide {

  /**
   * Time between two checks whether the caller has closed its connection, in nanoseconds. It is
   * well below the half second within which the request must then be given up, and no shorter,
   * because each check costs a read.
   */
  private static final long CALLER_POLL_INTERVAL_NANOS = 200_000_000L;

  /**
   * Time for which the target side's outcome is still awaited after the deadline, in nanoseconds.
   * If the request never left the target side's queue, that outcome tells that it was not run.
   */
  private static final long OUTCOME_GRACE_NANOS = 30_000_000L;

  /**
   * Longest wait for the reply of the target side to the withdrawal of an overdue request, in
   * nanoseconds. With the wait for the outcome, the caller has its answer within 100 ms after its
   * deadline.
   */
  private static final long WITHDRAWAL_NANOS = 60_000_000L;

  /**
   * Longest wait until it is known whether requests on lost links were handed over, in nanoseconds:
   * a new link to the node and one query.
   */
  private static final long FENCE_NANOS = 500_000_000L;

  /** Most servers at which one request is tried, whether or not they accept it. */
  private static final int MAX_SERVERS_TRIED = 12;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long PERCENT = 100;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final ZoneName ownZone;
  private final RoutingSnapshots snapshots;
  private final TargetConnector connector;
  private final PeerLinks links;
  private final LoadShedder loadShedder;
  private final RequestQuarantine quarantine;
  private final BooleanSupplier shortOfMemory;
  private final TeamQuotas quotas;
  private final Hedging hedging;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final EventLog log;
  // Set once a planned stop has begun.
  private volatile OptionalLong latestDeadlineNanos = OptionalLong.empty();

  /**
   * Creates an entry side.
   *
   * @param ownZone this node's availability zone
   * @param snapshots provides the current routing snapshot
   * @param connector opens exchanges
   * @param links links to other nodes, which carry probes
   * @param loadShedder decides which calls are refused when processor time is short
   * @param quarantine refuses requests that must reach no target
   * @param shortOfMemory whether the memory of the node is needed for what has begun
   * @param quotas limits the requests of teams
   * @param hedging decides on copies of slow requests
   * @param metrics counts calls
   * @param time the time source
   * @param log receives the outcomes of calls
   */
  public EntrySide(
      ZoneName ownZone,
      RoutingSnapshots snapshots,
      TargetConnector connector,
      PeerLinks links,
      LoadShedder loadShedder,
      RequestQuarantine quarantine,
      BooleanSupplier shortOfMemory,
      TeamQuotas quotas,
      Hedging hedging,
      NodeMetrics metrics,
      TimeSource time,
      EventLog log) {
    this.ownZone = ownZone;
    this.snapshots = snapshots;
    this.connector = connector;
    this.links = links;
    this.loadShedder = loadShedder;
    this.quarantine = quarantine;
    this.shortOfMemory = shortOfMemory;
    this.quotas = quotas;
    this.hedging = hedging;
    this.metrics = metrics;
    this.time = time;
    this.log = log;
  }

  /**
   * The outcome of a call, with the servers that were tried.
   *
   * @param outcome the outcome
   * @param server the server of the last attempt, or empty if there was none
   * @param attempts nodes in the order in which they were tried, each with the outcome of its
   *     attempt
   * @param reachedTarget whether the request may have reached a target, even if it was not run
   */
  public record CallResult(
      Outcome<CallResponse> outcome,
      Optional<Server> server,
      String attempts,
      boolean reachedTarget) {

    /**
     * Creates the outcome of a call that reached no target.
     *
     * @param outcome the outcome
     * @param server the server of the last attempt, or empty if there was none
     * @param attempts nodes in the order in which they were tried, each with the outcome of its
     *     attempt
     */
    public CallResult(Outcome<CallResponse> outcome, Optional<Server> server, String attempts) {
      this(outcome, server, attempts, false);
    }

    /** {@return whether a target answered with a status below 500} */
    boolean isSuccess() {
      return outcome instanceof Outcome.Answered<CallResponse> && !isFailure(outcome);
    }
  }

  /**
   * Ends all calls by a time, those in progress and those that arrive from now on, so that a
   * planned stop cuts none of them off without a response.
   *
   * @param latestNanos the latest deadline, in monotonic nanoseconds
   */
  public void limitDeadlines(long latestNanos) {
    latestDeadlineNanos = OptionalLong.of(latestNanos);
  }

  /**
   * Serves a call.
   *
   * @param call the call
   * @param caller the caller's connection
   * @return the outcome; a streamed answer must be read to its end or closed
   */
  public CallResult serve(CallRequest call, CallerConnection caller) {
    return serve(call, caller, new HandOver());
  }

  /**
   * Serves a call.
   *
   * @param call the call
   * @param caller the caller's connection
   * @param sent committed before the request is first sent to a target side; after an unexpected
   *     failure, a caller of this method that can fence it knows that nothing was sent
   * @return the outcome; a streamed answer must be read to its end or closed
   */
  CallResult serve(CallRequest call, CallerConnection caller, HandOver sent) {
    CallRequest request = withLimitedDeadline(call);
    long startNanos = time.nanos();
    Optional<ServiceSnapshot> service =
        snapshots.current().flatMap(snapshot -> snapshot.service(request.service()));
    if (service.isEmpty()) {
      return new CallResult(
          notRun(ResultCode.NOT_READY, "no configuration yet"), Optional.empty(), "");
    }
    service.get().retryBudget().onFirstAttempt(request.team());
    if (request.parentAttempt() == CallRequest.ParentAttempt.RETRY) {
      service.get().retryBudget().onInheritedRetry();
    }
    hedging.onRequest(request);
    CallResult result =
        refusal(request, startNanos)
            .map(refusal -> new CallResult(refusal, Optional.empty(), ""))
            .orElseGet(() -> tryServersWithinQuota(request, caller, service.get(), sent));
    hedging.onRequestEnd(request, result.outcome());
    boolean recorded = false;
    try {
      record(request, service.get(), result, startNanos);
      recorded = true;
      return result;
    } finally {
      if (!recorded && result.outcome() instanceof Outcome.Answered<CallResponse> answered) {
        answered.response().close();
      }
    }
  }

  private void record(
      CallRequest request, ServiceSnapshot service, CallResult result, long startNanos) {
    long durationNanos = time.nanos() - startNanos;
    recordCall(service, result.outcome(), durationNanos);
    Supplier<String> line =
        () ->
            "id="
                + request.id()
                + " rule="
                + request.rule()
                + " service="
                + request.service()
                + " needed="
                + request.nested()
                + " objective-ms="
                + (request.objectiveNanos() - startNanos) / NANOS_PER_MILLI
                + " taken-share="
                + Math.round(loadShedder.admittedShare() * PERCENT)
                + "% config="
                + snapshots.current().map(RoutingSnapshot::offset).orElse(-1L)
                + " ms="
                + durationNanos / NANOS_PER_MILLI
                + " end="
                + outcomeLabel(result.outcome())
                + " asked="
                + result.attempts();
    if (result.isSuccess()) {
      log.requestSucceeded("call", line);
    } else {
      log.requestFailed("call", line);
    }
  }

  private CallRequest withLimitedDeadline(CallRequest request) {
    OptionalLong latest = latestDeadlineNanos;
    return latest.isPresent() ? request.withDeadlineAtMost(latest.getAsLong()) : request;
  }

  private Optional<Outcome.NotRun<CallResponse>> refusal(CallRequest request, long nowNanos) {
    return quarantine
        .refusal(request)
        .or(
            () ->
                admits(request, nowNanos)
                    ? Optional.empty()
                    : Optional.of(
                        new Outcome.NotRun<>(
                            ResultCode.NODE_BUSY,
                            0,
                            "the node sheds load because its processor time or memory is short")));
  }

  private boolean admits(CallRequest request, long nowNanos) {
    double randomValue = ThreadLocalRandom.current().nextDouble();
    return request.nested()
        || (!shortOfMemory.getAsBoolean()
            && loadShedder.admits(request.priority(), request.team(), randomValue, nowNanos));
  }

  private static String outcomeLabel(Outcome<CallResponse> outcome) {
    return switch (outcome) {
      case Outcome.Answered<CallResponse> answered ->
          Integer.toString(answered.response().status());
      case Outcome.NotRun<CallResponse> notRun -> notRun.code().toString();
      case Outcome.Unknown<CallResponse> unknown -> unknown.code().toString();
    };
  }

  // A request takes one token of its team, however many servers it is tried at. Requests that
  // depend on a running one are part of it.
  private CallResult tryServersWithinQuota(
      CallRequest request, CallerConnection caller, ServiceSnapshot service, HandOver sent) {
    Optional<TeamSpec> team =
        request.team().flatMap(name -> snapshots.current().flatMap(now -> now.teams().find(name)));
    Optional<Outcome.NotRun<CallResponse>> refusal =
        team.flatMap(limited -> quotas.tryAcquire(limited, request.deadlineNanos()));
    if (refusal.isPresent()) {
      return new CallResult(refusal.get(), Optional.empty(), "");
    }
    CallResult result = tryServersAndFence(request, caller, service, sent);
    if (result.outcome() instanceof Outcome.NotRun<CallResponse> && !result.reachedTarget()) {
      team.ifPresent(quotas::release);
    }
    return result;
  }

  // Attempts that may have run, as far as is known.
  private static final class OpenAttempts {
    private final List<Exchange> onLostLinks = new ArrayList<>();
    private boolean others;

    void add(Attempt attempt, Outcome<CallResponse> outcome) {
      switch (outcome) {
        case Outcome.NotRun<CallResponse> notRun -> {}
        case Outcome.Answered<CallResponse> answered -> others = true;
        case Outcome.Unknown<CallResponse> unknown -> {
          boolean lost = unknown.code() == ResultCode.LINK_LOST && attempt.opened.isPresent();
          if (lost) {
            onLostLinks.add(attempt.opened.get());
          }
          others |= !lost;
        }
      }
    }
  }

  // Whether a request on a lost link was handed over is asked only after the last attempt: the
  // next attempt at an idempotent request does not depend on it.
  private CallResult tryServersAndFence(
      CallRequest request, CallerConnection caller, ServiceSnapshot service, HandOver sent) {
    OpenAttempts open = new OpenAttempts();
    CallResult result = tryServers(request, caller, service, sent, open);
    boolean mayBeFenced =
        result.outcome() instanceof Outcome.Unknown<CallResponse>
            && request.idempotent()
            && !open.others
            && !caller.isClosed();
    return mayBeFenced && fenceAll(request, open.onLostLinks)
        ? new CallResult(
            notRun(ResultCode.FENCED, "fenced after the link to the target side was lost"),
            result.server(),
            result.attempts())
        : result;
  }

  private boolean fenceAll(CallRequest request, List<Exchange> exchanges) {
    long latestNanos =
        withLimitedDeadline(request).deadlineNanos() + OUTCOME_GRACE_NANOS + WITHDRAWAL_NANOS;
    long endNanos = Math.min(time.nanos() + FENCE_NANOS, latestNanos);
    try {
      for (Exchange exchange : exchanges) {
        if (!exchange.fence(Math.max(0, endNanos - time.nanos()))) {
          return false;
        }
      }
      return !exchanges.isEmpty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private CallResult tryServers(
      CallRequest request,
      CallerConnection caller,
      ServiceSnapshot service,
      HandOver sent,
      OpenAttempts open) {
    AttemptPlan attemptPlan =
        new AttemptPlan(
            service.servers(),
            service.picker(),
            ownZone,
            request.rule(),
            request.team(),
            requestClass(request));
    ResultCode codeIfNoneTried =
        service.servers().isEmpty() ? ResultCode.NO_TARGET : ResultCode.OVERLOADED;
    CallResult result =
        new CallResult(
            notRun(codeIfNoneTried, "no target accepts the request"), Optional.empty(), "");
    int reachedTargets = 0;
    for (int tried = 1; tried <= MAX_SERVERS_TRIED; tried++) {
      Optional<Outcome.NotRun<CallResponse>> quarantined = quarantine.refusal(request);
      if (quarantined.isPresent()) {
        return new CallResult(
            preferredOutcome(result.outcome(), quarantined.get()),
            result.server(),
            result.attempts(),
            result.reachedTarget());
      }
      Optional<AttemptPlan.Choice> choice = chooseServer(request, service, attemptPlan);
      if (choice.isEmpty()) {
        return result;
      }
      Server server = choice.get().server();
      int attemptNumber = request.attempt() + reachedTargets;
      Attempt attempt =
          new Attempt(
              request.withAttempt(attemptNumber, choice.get().maxWaitPercent()),
              service,
              server,
              sent,
              Optional.of(attemptPlan));
      Outcome<CallResponse> outcome = attempt.run(caller);
      reachedTargets += attempt.reachedByCopy;
      boolean kept = false;
      try {
        open.add(attempt, outcome);
        attemptPlan.onReply(choice.get(), reply(outcome), time.nanos());
        if (mayHaveReachedTarget(outcome)) {
          reachedTargets++;
          attemptPlan.onReached(server);
        }
        String attempts =
            result.attempts()
                + attempt.copyLabel
                + server.node()
                + ":"
                + (attempt.copyUsed() ? "given-up" : outcomeLabel(outcome))
                + ",";
        result =
            new CallResult(
                preferredOutcome(result.outcome(), outcome),
                Optional.of(server),
                attempts,
                reachedTargets > 0);
        boolean retries =
            tryAcquireRetry(request, service, attemptPlan, reachedTargets, attempt, outcome);
        if (retries && mayHaveReachedTarget(outcome)) {
          metrics.countRetry();
        }
        kept = true;
        if (!retries) {
          return result;
        }
      } finally {
        if (!kept && outcome instanceof Outcome.Answered<CallResponse> answered) {
          answered.response().close();
        }
      }
    }
    return result;
  }

  private AttemptPlan.RequestClass requestClass(CallRequest request) {
    if (request.nested()) {
      return AttemptPlan.RequestClass.NESTED;
    }
    return request.objectiveNanos() - time.nanos() > 0
        ? AttemptPlan.RequestClass.IN_TIME
        : AttemptPlan.RequestClass.LATE;
  }

  private static AttemptPlan.Reply reply(Outcome<CallResponse> outcome) {
    return outcome instanceof Outcome.NotRun<CallResponse> notRun
        ? switch (notRun.code()) {
          case TOO_LATE_HERE -> AttemptPlan.Reply.WAIT_TOO_LONG;
          default -> AttemptPlan.Reply.UNAVAILABLE;
        }
        : AttemptPlan.Reply.ACCEPTED;
  }

  private static boolean mayHaveReachedTarget(Outcome<CallResponse> outcome) {
    return !(outcome instanceof Outcome.NotRun<CallResponse> notRun)
        || notRun.code().reachedTarget();
  }

  // A refusal covers the last attempt only: if an earlier attempt may have run, so may the call. A
  // target's answer takes precedence over a later attempt without one.
  private static Outcome<CallResponse> preferredOutcome(
      Outcome<CallResponse> earlier, Outcome<CallResponse> later) {
    return switch (earlier) {
      case Outcome.Answered<CallResponse> answered ->
          later instanceof Outcome.Answered<CallResponse> ? later : earlier;
      case Outcome.Unknown<CallResponse> unknown ->
          later instanceof Outcome.NotRun<CallResponse> ? earlier : later;
      case Outcome.NotRun<CallResponse> notRun -> later;
    };
  }

  private boolean tryAcquireRetry(
      CallRequest request,
      ServiceSnapshot service,
      AttemptPlan attemptPlan,
      int reachedTargets,
      Attempt lastAttempt,
      Outcome<CallResponse> outcome) {
    RetryPolicy.Facts facts =
        new RetryPolicy.Facts(
            request.idempotent(),
            request.bodyComplete() || !lastAttempt.callerBodyRead,
            reachedTargets,
            request.attempt() - 1,
            request.deadlineNanos() - time.nanos(),
            request.key().isPresent(),
            attemptPlan.mayHaveNext() ? 1 : 0,
            request.maxAttempts(),
            isFailureWithBufferedBody(outcome));
    return RetryPolicy.shouldRetry(outcome, facts, request.team(), service.retryBudget());
  }

  // A request with an idempotency key goes to the key's owner, any other to the next server of the
  // attempt plan.
  private Optional<AttemptPlan.Choice> chooseServer(
      CallRequest request, ServiceSnapshot service, AttemptPlan attemptPlan) {
    if (request.key().isPresent()) {
      return ownerServer(request.key().get(), service)
          .map(owner -> new AttemptPlan.Choice(owner, 0));
    }
    return attemptPlan.next(time.nanos(), ThreadLocalRandom.current());
  }

  private static Optional<Server> ownerServer(IdempotencyKey key, ServiceSnapshot service) {
    Optional<KeyOwners.Member> owner = service.keyOwners().ownerOf(key);
    return service.servers().stream()
        .filter(server -> owner.isPresent() && server.node().equals(owner.get().node()))
        .findFirst();
  }

  private void recordCall(
      ServiceSnapshot service, Outcome<CallResponse> outcome, long durationNanos) {
    long objectiveNanos = service.spec().latencyObjectiveMillis() * 1_000_000L;
    boolean slow = durationNanos > objectiveNanos;
    boolean failed = !(outcome instanceof Outcome.Answered<CallResponse>) || isFailure(outcome);
    service.counts().count(failed, slow, time.wallMillis());
    switch (outcome) {
      case Outcome.Answered<CallResponse> answered ->
          metrics.recordCall(service.spec().name(), "answered", 0, durationNanos);
      case Outcome.NotRun<CallResponse> notRun ->
          metrics.recordCall(
              service.spec().name(), "not-run", notRun.code().number(), durationNanos);
      case Outcome.Unknown<CallResponse> unknown ->
          metrics.recordCall(
              service.spec().name(), "unknown", unknown.code().number(), durationNanos);
    }
  }

  private static boolean isFailureWithBufferedBody(Outcome<CallResponse> outcome) {
    return outcome instanceof Outcome.Answered<CallResponse> answered
        && answered.response().status() >= MIN_SERVER_ERROR_STATUS
        && answered.response().body() instanceof CallResponse.Body.Buffered;
  }

  private static boolean isFailure(Outcome<CallResponse> outcome) {
    return switch (outcome) {
      case Outcome.Answered<CallResponse> answered ->
          answered.response().status() >= MIN_SERVER_ERROR_STATUS;
      case Outcome.NotRun<CallResponse> notRun ->
          notRun.code() == ResultCode.TARGET_UNREACHABLE
              || notRun.code() == ResultCode.NODE_UNREACHABLE;
      case Outcome.Unknown<CallResponse> unknown ->
          unknown.code() == ResultCode.LINK_LOST
              || unknown.code() == ResultCode.TARGET_BROKE_OFF
              || unknown.code() == ResultCode.DEADLINE_AFTER_START;
    };
  }

  private static Outcome<CallResponse> notRun(ResultCode code, String detail) {
    return new Outcome.NotRun<>(code, 0, detail);
  }

  private static Outcome<CallResponse> unknown(ResultCode code, String detail) {
    return new Outcome.Unknown<>(code, detail);
  }

  // One attempt at one server. Confined to the call's thread.
  private final class Attempt {

    private final CallRequest request;
    private final ServiceSnapshot service;
    private final Server server;
    private final HandOver sent;
    // The plan from which a copy takes its server; empty for a copy, of which there is no other.
    private final Optional<AttemptPlan> copyPlan;
    private Optional<Exchange> opened = Optional.empty();
    private Optional<HedgedExchange> hedged = Optional.empty();
    private int reachedByCopy;
    private String copyLabel = "";
    private long startNanos;
    private boolean callerBodyRead;
    private boolean callerLeft;
    private boolean recorded;

    Attempt(
        CallRequest request,
        ServiceSnapshot service,
        Server server,
        HandOver sent,
        Optional<AttemptPlan> copyPlan) {
      this.request = request;
      this.service = service;
      this.server = server;
      this.sent = sent;
      this.copyPlan = copyPlan;
    }

    boolean copyUsed() {
      return hedged.map(HedgedExchange::copyUsed).orElse(false);
    }

    Outcome<CallResponse> run(CallerConnection caller) {
      Optional<Exchange> exchange = Optional.empty();
      boolean ended = false;
      try {
        exchange = open();
        exchange = exchange.map(this::hedged);
        opened = exchange;
        sendProbe();
        Outcome<CallResponse> outcome =
            exchange
                .map(open -> runExchange(open, caller))
                .orElseGet(
                    () ->
                        notRun(
                            ResultCode.NODE_UNREACHABLE,
                            "the node of the target cannot be reached"));
        recordOutcome(outcome, time.nanos() - startNanos);
        ended = true;
        return outcome;
      } finally {
        if (!ended) {
          giveUp(exchange);
        }
      }
    }

    private Optional<Exchange> open() {
      startNanos = time.nanos();
      server.stats().onStart(startNanos);
      long offset = snapshots.current().map(RoutingSnapshot::offset).orElse(-1L);
      // An exchange with this node that cannot be started has sent nothing, and nothing is
      // allocated between its start and the commit.
      if (!connector.isOwnNode(server)) {
        sent.commit();
      }
      Optional<Exchange> exchange = connector.open(server, request, offset);
      sent.commit();
      return exchange;
    }

    private Exchange hedged(Exchange exchange) {
      OptionalLong due =
          copyPlan.isPresent() ? hedging.dueNanos(request, startNanos) : OptionalLong.empty();
      if (due.isEmpty()) {
        return exchange;
      }
      HedgedExchange created =
          new HedgedExchange(exchange, due.getAsLong(), () -> startCopy(copyPlan.get()), time);
      hedged = Optional.of(created);
      return created;
    }

    private Optional<HedgedExchange.Copy> startCopy(AttemptPlan plan) {
      boolean anotherServer = service.servers().size() > 1 && plan.mayHaveNext();
      if (!hedging.decide(request, anotherServer, service.retryBudget())) {
        return Optional.empty();
      }
      plan.onReached(server);
      return plan.next(time.nanos(), ThreadLocalRandom.current())
          .flatMap(choice -> openCopy(plan, choice));
    }

    private Optional<HedgedExchange.Copy> openCopy(AttemptPlan plan, AttemptPlan.Choice choice) {
      Attempt copy =
          new Attempt(
              request.withAttempt(request.attempt() + 1, choice.maxWaitPercent()),
              service,
              choice.server(),
              sent,
              Optional.empty());
      Optional<Exchange> exchange = Optional.empty();
      boolean opened = false;
      try {
        exchange = copy.open();
        opened = exchange.isPresent();
        return exchange.map(open -> new CopyInProgress(open, copy, plan, choice));
      } finally {
        if (!opened) {
          copy.giveUp(exchange);
        }
      }
    }

    // A copy that was started by this attempt.
    private final class CopyInProgress implements HedgedExchange.Copy {

      private final Exchange exchange;
      private final Attempt copy;
      private final AttemptPlan plan;
      private final AttemptPlan.Choice choice;

      CopyInProgress(Exchange exchange, Attempt copy, AttemptPlan plan, AttemptPlan.Choice choice) {
        this.exchange = exchange;
        this.copy = copy;
        this.plan = plan;
        this.choice = choice;
      }

      @Override
      public Exchange exchange() {
        return exchange;
      }

      @Override
      public void onEnd(Optional<Outcome<CallResponse>> outcome, boolean used) {
        long durationNanos = time.nanos() - copy.startNanos;
        String label = outcome.map(EntrySide::outcomeLabel).orElse("cancelled");
        if (outcome.isPresent()) {
          copy.recordOutcome(outcome.get(), durationNanos);
          plan.onReply(choice, reply(outcome.get()), time.nanos());
        } else {
          copy.recorded = true;
          copy.server.stats().onAbandon(false, time.nanos());
        }
        if (outcome.isEmpty() || mayHaveReachedTarget(outcome.get())) {
          reachedByCopy = 1;
          plan.onReached(copy.server);
        }
        copyLabel = copy.server.node() + ":copy-" + label + ",";
        hedging.onCopyEnd(request, copy.server.node().value(), label, used, durationNanos);
      }
    }

    // After an unexpected failure, which says nothing about the server.
    private void giveUp(Optional<Exchange> exchange) {
      try {
        if (!recorded) {
          recorded = true;
          server.stats().onAbandon(false, time.nanos());
        }
      } finally {
        if (exchange.isPresent()) {
          exchange.get().cancel();
        }
      }
    }

    private Outcome<CallResponse> runExchange(Exchange exchange, CallerConnection caller) {
      try {
        return sendAndAwait(exchange, caller);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        exchange.cancel();
        return unknown(ResultCode.DEADLINE_AFTER_START, "the node is stopping");
      }
    }

    private Outcome<CallResponse> sendAndAwait(Exchange exchange, CallerConnection caller)
        throws InterruptedException {
      try {
        if (!request.bodyComplete()) {
          sendRestOfBody(exchange, caller);
        }
        return awaitOutcome(exchange, caller);
      } catch (IOException e) {
        callerLeft = true;
        String detail = "the body did not arrive in time, or the connection to the caller failed";
        return caller.isClosed() ? abandon(exchange, detail) : withdraw(exchange, detail);
      }
    }

    private void sendRestOfBody(Exchange exchange, CallerConnection caller)
        throws IOException, InterruptedException {
      // A refusal usually arrives before any of the rest is read from the caller. Until then, the
      // request can still be sent to another target.
      if (exchange.await(0).isPresent()) {
        return;
      }
      byte[] buffer = new byte[Exchange.MAX_SEND_BYTES];
      boolean open = true;
      while (open && awaitRoom(exchange, caller)) {
        callerBodyRead = true;
        int count = caller.readBody(buffer, nanosLeft());
        boolean last = count < 0;
        open = exchange.send(Arrays.copyOf(buffer, Math.max(0, count)), last) && !last;
      }
    }

    // Returns whether more of the body is to be sent: not after the deadline, and not once there is
    // an outcome, such as an answer to the part that was sent.
    private boolean awaitRoom(Exchange exchange, CallerConnection caller)
        throws InterruptedException {
      while (!exchange.awaitRoom(Math.clamp(nanosLeft(), 0, CALLER_POLL_INTERVAL_NANOS))) {
        if (nanosLeft() <= 0 || caller.isClosed()) {
          return false;
        }
      }
      return nanosLeft() > 0 && exchange.await(0).isEmpty();
    }

    private long nanosLeft() {
      return withLimitedDeadline(request).deadlineNanos() - time.nanos();
    }

    private Outcome<CallResponse> awaitOutcome(Exchange exchange, CallerConnection caller)
        throws InterruptedException {
      while (true) {
        long nanosLeft = nanosLeft();
        Optional<Outcome<CallResponse>> outcome =
            exchange.await(
                Math.clamp(nanosLeft + OUTCOME_GRACE_NANOS, 0, CALLER_POLL_INTERVAL_NANOS));
        if (outcome.isPresent()) {
          return outcome.get();
        }
        if (nanosLeft <= -OUTCOME_GRACE_NANOS) {
          return withdraw(exchange, "the target sent no answer before the deadline");
        }
        if (caller.isClosed()) {
          callerLeft = true;
          return abandon(exchange, "the caller closed its connection");
        }
      }
    }

    // Only the target side knows whether the request was handed over.
    private Outcome<CallResponse> withdraw(Exchange exchange, String detail)
        throws InterruptedException {
      exchange.withdraw();
      Optional<Outcome<CallResponse>> reply = exchange.await(WITHDRAWAL_NANOS);
      if (reply.isEmpty() || isStreamed(reply.get())) {
        // The rest of a streamed answer would not arrive.
        return abandon(exchange, detail);
      }
      boolean cancelled =
          reply.get() instanceof Outcome.NotRun<CallResponse> notRun
              && notRun.code() == ResultCode.CANCELLED;
      return cancelled ? notRun(ResultCode.DEADLINE_BEFORE_START, detail) : reply.get();
    }

    private static boolean isStreamed(Outcome<CallResponse> outcome) {
      return outcome instanceof Outcome.Answered<CallResponse> answered
          && answered.response().body() instanceof CallResponse.Body.Streamed;
    }

    private Outcome<CallResponse> abandon(Exchange exchange, String detail) {
      exchange.cancel();
      return unknown(ResultCode.DEADLINE_AFTER_START, detail);
    }

    private void recordOutcome(Outcome<CallResponse> outcome, long latencyNanos) {
      long nowNanos = time.nanos();
      // That a caller leaves is no failure of the server.
      boolean failed = !callerLeft && isFailure(outcome);
      boolean hasAnswer = outcome instanceof Outcome.Answered<CallResponse>;
      recorded = true;
      if (copyPlan.isPresent() && hasAnswer) {
        hedging.onAnswer(request, latencyNanos);
      }
      if (copyUsed()) {
        onCopyUsed(hedged.get().firstFailure().filter(EntrySide::isFailure).isPresent(), nowNanos);
        return;
      }
      if (hasAnswer) {
        server.stats().onFinish(latencyNanos, failed, nowNanos);
      } else {
        server.stats().onAbandon(failed, nowNanos);
      }
      if (hasAnswer || failed) {
        Ejection.afterCall(service.servers(), server, request.rule(), failed, nowNanos);
      }
      if (outcome instanceof Outcome.Answered<CallResponse> answered) {
        answered.response().load().ifPresent(load -> server.stats().onReport(load, nowNanos));
      }
    }

    // The outcome is that of the copy, whose server has it recorded.
    private void onCopyUsed(boolean failed, long nowNanos) {
      server.stats().onAbandon(failed, nowNanos);
      if (failed) {
        Ejection.afterCall(service.servers(), server, request.rule(), true, nowNanos);
      }
    }

    private void sendProbe() {
      service
          .probes()
          .plan(service.servers(), time.nanos(), ThreadLocalRandom.current())
          .ifPresent(
              probed ->
                  links.sendQuery(
                      TargetConnector.peerAddress(probed),
                      id -> Frame.newBuilder().setProbe(Probe.newBuilder().setQuery(id)).build()));
    }
  }
}
