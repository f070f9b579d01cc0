package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.amaranthmoor.balance.AttemptPlan;
import org.amaranthmoor.balance.Ejection;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.LoadShedder;
import org.amaranthmoor.caller.RetryPolicy;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Exchange;
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
import org.amaranthmoor.target.KeyOwners;

/**
 * Takes a call to its end: picks a server, tries, and tries again where that is allowed.
 *
 * <p>Invariants: every call gets exactly one outcome; a request that is not idempotent is tried
 * again only after an attempt that was not run. Safe for use by several threads; each call blocks
 * its own.
 */
public final class EntrySide {

  /**
   * Time between two looks whether the caller has gone, in nanoseconds: well below the half second
   * after which its request must have been given up, and rare, because each look costs a read.
   */
  private static final long POLL_NANOS = 200_000_000L;

  /**
   * Time after a deadline in which the target side's own verdict is awaited, in nanoseconds: a
   * request that never left its queue was then truly not run.
   */
  private static final long VERDICT_GRACE_NANOS = 30_000_000L;

  /** Most servers that one request asks, whether or not they take it. */
  private static final int MAX_ASKED = 12;

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long PERCENT = 100;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int CHUNK_BYTES = 32 * 1024;

  private final ZoneName ownZone;
  private final EntryViews views;
  private final TargetAccess access;
  private final PeerLinks links;
  private final LoadShedder shedder;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final EventLog log;

  /**
   * Creates an entry side.
   *
   * @param ownZone this node's availability zone
   * @param views what calls are routed by
   * @param access opens exchanges
   * @param links carries probes
   * @param shedder decides which calls are turned away for want of processor time
   * @param metrics counts calls
   * @param time the time
   * @param log told of each decision
   */
  public EntrySide(
      ZoneName ownZone,
      EntryViews views,
      TargetAccess access,
      PeerLinks links,
      LoadShedder shedder,
      NodeMetrics metrics,
      TimeSource time,
      EventLog log) {
    this.ownZone = ownZone;
    this.views = views;
    this.access = access;
    this.links = links;
    this.shedder = shedder;
    this.metrics = metrics;
    this.time = time;
    this.log = log;
  }

  /**
   * An outcome with the target that gave it.
   *
   * @param outcome the outcome
   * @param server the server of the last attempt, or empty if there was none
   * @param asked nodes asked in order, each with the end of that attempt
   */
  public record Served(Outcome<CallResponse> outcome, Optional<Server> server, String asked) {

    /** {@return whether a target answered, and not with a failure of its own} */
    boolean endedWell() {
      return outcome instanceof Outcome.Answered<CallResponse> && !isFailure(outcome);
    }
  }

  /**
   * Serves a call.
   *
   * @param request the call
   * @param caller the caller's connection
   * @return the outcome; a streamed answer must be read to its end or closed
   */
  public Served serve(CallRequest request, CallerConnection caller) {
    long startNanos = time.nanos();
    Optional<ServiceView> service =
        views.current().flatMap(view -> view.service(request.service()));
    if (service.isEmpty()) {
      return new Served(notRun(ResultCode.NOT_READY, "no configuration yet"), Optional.empty(), "");
    }
    service.get().retryBudget().onFirstAttempt();
    if (request.parentAttempt() == CallRequest.ParentAttempt.RETRY) {
      service.get().retryBudget().onInheritedRetry();
    }
    Served served =
        takes(request, startNanos)
            ? tryServers(request, caller, service.get())
            : new Served(
                notRun(ResultCode.NODE_BUSY, "this node is too busy"), Optional.empty(), "");
    long nanos = time.nanos() - startNanos;
    count(service.get(), served.outcome(), nanos);
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
                + Math.round(shedder.admittedShare() * PERCENT)
                + "% config="
                + views.current().map(EntryView::offset).orElse(-1L)
                + " ms="
                + nanos / NANOS_PER_MILLI
                + " end="
                + describe(served.outcome())
                + " asked="
                + served.asked();
    if (served.endedWell()) {
      log.decision("call", line);
    } else {
      log.failure("call", line);
    }
    return served;
  }

  private boolean takes(CallRequest request, long nowNanos) {
    double drawn = ThreadLocalRandom.current().nextDouble();
    return request.nested() || shedder.admits(request.priority(), drawn, nowNanos);
  }

  private static String describe(Outcome<CallResponse> outcome) {
    return switch (outcome) {
      case Outcome.Answered<CallResponse> answered ->
          Integer.toString(answered.response().status());
      case Outcome.NotRun<CallResponse> notRun -> notRun.code().toString();
      case Outcome.Unknown<CallResponse> unknown -> unknown.code().toString();
    };
  }

  private Served tryServers(CallRequest request, CallerConnection caller, ServiceView service) {
    AttemptPlan placement =
        new AttemptPlan(
            service.servers(), service.picker(), ownZone, request.rule(), worth(request));
    ResultCode none = service.servers().isEmpty() ? ResultCode.NO_TARGET : ResultCode.OVERLOADED;
    Served served = new Served(notRun(none, "no target takes the request"), Optional.empty(), "");
    int reached = 0;
    for (int asked = 1; asked <= MAX_ASKED; asked++) {
      Optional<AttemptPlan.Choice> choice = choose(request, service, placement);
      if (choice.isEmpty()) {
        return served;
      }
      Server server = choice.get().server();
      int number = request.attempt() + reached;
      Attempt attempt =
          new Attempt(request.withAttempt(number, choice.get().maxWaitPercent()), service, server);
      Outcome<CallResponse> outcome = attempt.run(caller);
      placement.onReply(choice.get(), reply(outcome), time.nanos());
      if (mayHaveReached(outcome)) {
        reached++;
        placement.onReached(server);
      }
      String history = served.asked() + server.node() + ":" + describe(outcome) + ",";
      served = new Served(better(served.outcome(), outcome), Optional.of(server), history);
      if (!retries(request, service, placement, reached, attempt, outcome)) {
        return served;
      }
      if (mayHaveReached(outcome)) {
        metrics.retry();
      }
    }
    return served;
  }

  private AttemptPlan.RequestClass worth(CallRequest request) {
    if (request.nested()) {
      return AttemptPlan.RequestClass.NEEDED;
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

  private static boolean mayHaveReached(Outcome<CallResponse> outcome) {
    return !(outcome instanceof Outcome.NotRun<CallResponse> notRun)
        || notRun.code().reachedTarget();
  }

  // A refusal speaks for the last attempt only; if an earlier one may have run, so may the call. A
  // target's own answer is worth more than a later attempt without one.
  private static Outcome<CallResponse> better(
      Outcome<CallResponse> earlier, Outcome<CallResponse> last) {
    return switch (earlier) {
      case Outcome.Answered<CallResponse> answered ->
          last instanceof Outcome.Answered<CallResponse> ? last : earlier;
      case Outcome.Unknown<CallResponse> unknown ->
          last instanceof Outcome.NotRun<CallResponse> ? earlier : last;
      case Outcome.NotRun<CallResponse> notRun -> last;
    };
  }

  private boolean retries(
      CallRequest request,
      ServiceView service,
      AttemptPlan placement,
      int reached,
      Attempt last,
      Outcome<CallResponse> outcome) {
    RetryPolicy.Facts facts =
        new RetryPolicy.Facts(
            request.idempotent(),
            request.bodyComplete() || !last.consumedBody,
            reached,
            request.attempt() - 1,
            request.deadlineNanos() - time.nanos(),
            request.key().isPresent(),
            placement.mayHaveNext() ? 1 : 0,
            request.maxAttempts(),
            isWholeFailure(outcome));
    return RetryPolicy.shouldRetry(outcome, facts, service.retryBudget());
  }

  // A request with a key goes to the key's owner; any other to the server that suits best.
  private Optional<AttemptPlan.Choice> choose(
      CallRequest request, ServiceView service, AttemptPlan placement) {
    if (request.key().isPresent()) {
      return owner(request.key().get(), service).map(owner -> new AttemptPlan.Choice(owner, 0));
    }
    return placement.next(time.nanos(), ThreadLocalRandom.current());
  }

  private static Optional<Server> owner(IdempotencyKey key, ServiceView service) {
    Optional<KeyOwners.Member> owner = service.keyOwners().ownerOf(key);
    return service.servers().stream()
        .filter(server -> owner.isPresent() && server.node().equals(owner.get().node()))
        .findFirst();
  }

  private void count(ServiceView service, Outcome<CallResponse> outcome, long nanos) {
    long objectiveNanos = service.spec().latencyObjectiveMillis() * 1_000_000L;
    boolean slow = nanos > objectiveNanos;
    boolean failed = !(outcome instanceof Outcome.Answered<CallResponse>) || isFailure(outcome);
    service.counts().count(failed, slow, time.wallMillis());
    switch (outcome) {
      case Outcome.Answered<CallResponse> answered ->
          metrics.call(service.spec().name(), "answered", 0, nanos);
      case Outcome.NotRun<CallResponse> notRun ->
          metrics.call(service.spec().name(), "not-run", notRun.code().number(), nanos);
      case Outcome.Unknown<CallResponse> unknown ->
          metrics.call(service.spec().name(), "unknown", unknown.code().number(), nanos);
    }
  }

  private static boolean isWholeFailure(Outcome<CallResponse> outcome) {
    return outcome instanceof Outcome.Answered<CallResponse> answered
        && answered.response().status() >= FIRST_SERVER_ERROR
        && answered.response().body() instanceof CallResponse.Body.Buffered;
  }

  private static boolean isFailure(Outcome<CallResponse> outcome) {
    return switch (outcome) {
      case Outcome.Answered<CallResponse> answered ->
          answered.response().status() >= FIRST_SERVER_ERROR;
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

  private static Outcome<CallResponse> givenUp(ResultCode code, String detail) {
    return new Outcome.Unknown<>(code, detail);
  }

  // One attempt at one server. Confined to the call's thread.
  private final class Attempt {

    private final CallRequest request;
    private final ServiceView service;
    private final Server server;
    private boolean consumedBody;

    Attempt(CallRequest request, ServiceView service, Server server) {
      this.request = request;
      this.service = service;
      this.server = server;
    }

    Outcome<CallResponse> run(CallerConnection caller) {
      long startNanos = time.nanos();
      server.stats().onStart(startNanos);
      long offset = views.current().map(EntryView::offset).orElse(-1L);
      Optional<Exchange> exchange = access.open(server, request, offset);
      probe();
      Outcome<CallResponse> outcome =
          exchange
              .map(open -> follow(open, caller))
              .orElseGet(() -> notRun(ResultCode.NODE_UNREACHABLE, "the node does not answer"));
      learn(outcome, time.nanos() - startNanos);
      return outcome;
    }

    private Outcome<CallResponse> follow(Exchange exchange, CallerConnection caller) {
      try {
        if (!request.bodyComplete()) {
          sendRest(exchange, caller);
        }
        return await(exchange, caller);
      } catch (IOException e) {
        exchange.cancel();
        return givenUp(ResultCode.DEADLINE_AFTER_START, "the caller went away during its upload");
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        exchange.cancel();
        return givenUp(ResultCode.DEADLINE_AFTER_START, "the node is stopping");
      }
    }

    private void sendRest(Exchange exchange, CallerConnection caller)
        throws IOException, InterruptedException {
      // A refusal usually arrives before any of the rest is read from the caller, who may then be
      // served by another target.
      if (exchange.await(0).isPresent()) {
        return;
      }
      byte[] buffer = new byte[CHUNK_BYTES];
      boolean open = true;
      while (open) {
        consumedBody = true;
        int count = caller.readBody(buffer);
        boolean last = count < 0;
        open = exchange.send(Arrays.copyOf(buffer, Math.max(0, count)), last) && !last;
      }
    }

    private Outcome<CallResponse> await(Exchange exchange, CallerConnection caller)
        throws InterruptedException {
      while (true) {
        long left = request.deadlineNanos() - time.nanos();
        Optional<Outcome<CallResponse>> outcome =
            exchange.await(Math.clamp(left + VERDICT_GRACE_NANOS, 0, POLL_NANOS));
        if (outcome.isPresent()) {
          return outcome.get();
        }
        if (left <= -VERDICT_GRACE_NANOS) {
          return abandon(exchange, "no answer before the deadline");
        }
        if (caller.gone()) {
          return abandon(exchange, "the caller went away");
        }
      }
    }

    private Outcome<CallResponse> abandon(Exchange exchange, String detail) {
      exchange.cancel();
      return givenUp(ResultCode.DEADLINE_AFTER_START, detail);
    }

    private void learn(Outcome<CallResponse> outcome, long latencyNanos) {
      long now = time.nanos();
      boolean failed = isFailure(outcome);
      boolean told = outcome instanceof Outcome.Answered<CallResponse>;
      if (told) {
        server.stats().onFinish(latencyNanos, failed, now);
      } else {
        server.stats().onAbandon(failed, now);
      }
      if (told || failed) {
        Ejection.afterCall(service.servers(), server, failed, now);
      }
      if (outcome instanceof Outcome.Answered<CallResponse> answered) {
        answered.response().load().ifPresent(load -> server.stats().onReport(load, now));
      }
    }

    private void probe() {
      service
          .probes()
          .plan(service.servers(), time.nanos(), ThreadLocalRandom.current())
          .ifPresent(
              probed ->
                  links.ask(
                      TargetAccess.address(probed),
                      id -> Frame.newBuilder().setProbe(Probe.newBuilder().setQuery(id)).build()));
    }
  }
}
