package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.amaranthmoor.balance.Ejection;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.RetryPolicy;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.Probe;
import org.amaranthmoor.target.Homes;

/**
 * Takes a call to its end: picks a server, tries, and tries again where that is allowed.
 *
 * <p>Invariants: every call gets exactly one outcome; a request that is not idempotent is tried
 * again only after an attempt that was not run. Safe for use by several threads; each call blocks
 * its own.
 */
public final class EntrySide {

  private static final long POLL_NANOS = 50_000_000L;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int CHUNK_BYTES = 32 * 1024;

  private final EntryViews views;
  private final TargetAccess access;
  private final PeerLinks links;
  private final NodeMetrics metrics;
  private final TimeSource time;

  /**
   * Creates an entry side.
   *
   * @param views what calls are routed by
   * @param access opens exchanges
   * @param links carries probes
   * @param metrics counts calls
   * @param time the time
   */
  public EntrySide(
      EntryViews views,
      TargetAccess access,
      PeerLinks links,
      NodeMetrics metrics,
      TimeSource time) {
    this.views = views;
    this.access = access;
    this.links = links;
    this.metrics = metrics;
    this.time = time;
  }

  /**
   * An outcome with the target that gave it.
   *
   * @param outcome the outcome
   * @param server the server of the last attempt, or empty if there was none
   */
  public record Served(Outcome<CallResponse> outcome, Optional<Server> server) {}

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
      return new Served(notRun(ResultCode.NOT_READY, "no configuration yet"), Optional.empty());
    }
    service.get().retryBudget().onFirstAttempt();
    Served served = tryServers(request, caller, service.get());
    count(service.get(), served.outcome(), time.nanos() - startNanos);
    return served;
  }

  private Served tryServers(CallRequest request, CallerConnection caller, ServiceView service) {
    Set<Server> tried = new HashSet<>();
    Served served = new Served(notRun(ResultCode.NO_TARGET, "no target left"), Optional.empty());
    for (int attempt = 1; attempt <= RetryPolicy.MAX_ATTEMPTS; attempt++) {
      Optional<Server> server = choose(request, service, tried);
      if (server.isEmpty()) {
        return served;
      }
      tried.add(server.get());
      Attempt tries =
          new Attempt(request.withAttempt(request.attempt() + attempt - 1), service, server.get());
      Outcome<CallResponse> outcome = tries.run(caller);
      served = new Served(atLeastUnknown(served.outcome(), outcome), server);
      if (!retries(request, service, tried, attempt, tries, outcome)) {
        return served;
      }
      metrics.retry();
    }
    return served;
  }

  // A refusal speaks for the last attempt only; if an earlier one may have run, so may the call.
  private static Outcome<CallResponse> atLeastUnknown(
      Outcome<CallResponse> earlier, Outcome<CallResponse> last) {
    boolean mayHaveRun = earlier instanceof Outcome.Unknown<CallResponse>;
    return mayHaveRun && last instanceof Outcome.NotRun<CallResponse> ? earlier : last;
  }

  private boolean retries(
      CallRequest request,
      ServiceView service,
      Set<Server> tried,
      int attempts,
      Attempt last,
      Outcome<CallResponse> outcome) {
    RetryPolicy.Facts facts =
        new RetryPolicy.Facts(
            request.idempotent(),
            request.complete() || !last.consumedBody,
            attempts,
            request.attempt() - 1,
            request.deadlineNanos() - time.nanos(),
            request.key().isPresent(),
            service.servers().size() - tried.size());
    return RetryPolicy.retries(outcome, facts, service.retryBudget());
  }

  // A request with a key goes to the key's home; any other to the server that suits best.
  private Optional<Server> choose(CallRequest request, ServiceView service, Set<Server> tried) {
    if (request.key().isPresent()) {
      return home(request.key().get(), service);
    }
    return service
        .picker()
        .pick(service.servers(), tried, time.nanos(), ThreadLocalRandom.current());
  }

  private static Optional<Server> home(IdempotencyKey key, ServiceView service) {
    Optional<Homes.Member> home = service.homes().homeOf(key);
    return service.servers().stream()
        .filter(server -> home.isPresent() && server.node().equals(home.get().node()))
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
        if (!request.complete()) {
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
        Optional<Outcome<CallResponse>> outcome = exchange.await(Math.clamp(left, 0, POLL_NANOS));
        if (outcome.isPresent()) {
          return outcome.get();
        }
        if (left <= 0) {
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
