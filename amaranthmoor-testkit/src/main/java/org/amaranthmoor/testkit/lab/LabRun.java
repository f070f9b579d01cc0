package org.amaranthmoor.testkit.lab;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.amaranthmoor.balance.Ejection;
import org.amaranthmoor.balance.Picker;
import org.amaranthmoor.balance.ProbePlanner;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.balance.ServerStats;
import org.amaranthmoor.caller.RetryBudget;
import org.amaranthmoor.caller.RetryPolicy;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.Admission.Decision;

/**
 * Simulates one case under one policy.
 *
 * <p>Each server has an entry side on its node, and a call arrives at any of them with equal
 * probability. The load is open: arrivals do not wait for responses. Arrivals, kinds and work
 * depend only on the seed, so that all policies handle the same calls. Confined to one thread.
 */
final class LabRun {

  private static final int ZONES = 3;
  private static final long SAME_ZONE_NANOS = 100_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int RETRY_BURST = 10;
  private static final double RETRY_SHARE = 0.1;
  private static final long CONNECT_FAILURE_NANOS = 1_000_000L;

  private final LabCase labCase;
  private final LabPolicy policy;
  private final LabClock clock = new LabClock();
  private final SplittableRandom arrivals;
  private final SplittableRandom choices;
  private final List<LabServer> servers = new ArrayList<>();
  private final List<EntrySide> entrySides = new ArrayList<>();
  private final LabResult result = new LabResult();

  private static final class EntrySide {
    private final int zone;
    private final List<Server> servers;
    private final Picker picker;
    private final ProbePlanner probes;
    private final RetryBudget budget = new RetryBudget(RETRY_SHARE, RETRY_BURST);

    EntrySide(int zone, List<Server> servers, Picker picker, ProbePlanner probes) {
      this.zone = zone;
      this.servers = servers;
      this.picker = picker;
      this.probes = probes;
    }
  }

  private static final class Call {
    private final LabCallKind kind;
    private final long workNanos;
    private final long startNanos;
    private final long deadlineNanos;
    private final EntrySide entrySide;
    private final Set<Server> tried = new HashSet<>();
    private int attempts;
    private boolean ended;

    Call(LabCallKind kind, long workNanos, long startNanos, EntrySide entrySide) {
      this.kind = kind;
      this.workNanos = workNanos;
      this.startNanos = startNanos;
      this.deadlineNanos = startNanos + kind.deadlineNanos();
      this.entrySide = entrySide;
    }
  }

  private LabRun(LabCase labCase, LabPolicy policy, long seed) {
    this.labCase = labCase;
    this.policy = policy;
    this.arrivals = new SplittableRandom(seed);
    this.choices = new SplittableRandom(seed + 1);
    for (int i = 0; i < labCase.site().servers(); i++) {
      servers.add(
          new LabServer(i, labCase.site().slots(), labCase.disturbances(), choices.split()));
    }
    for (int i = 0; i < labCase.site().servers(); i++) {
      entrySides.add(entrySide(i % ZONES));
    }
  }

  static LabResult run(LabCase labCase, LabPolicy policy, long seed) {
    LabRun run = new LabRun(labCase, policy, seed);
    run.clock.at(0, run::arrive);
    run.clock.runAll();
    return run.result;
  }

  private EntrySide entrySide(int zone) {
    List<Server> views = new ArrayList<>();
    for (LabServer server : servers) {
      views.add(
          new Server(
              new NodeName("n" + server.index),
              new Incarnation(1),
              new TargetName("t" + server.index),
              new ZoneName("z" + server.index % ZONES),
              "127.0.0.1",
              1,
              labCase.site().slots(),
              new ServerStats(-10 * NANOS_PER_SECOND)));
    }
    Picker picker =
        policy instanceof LabPolicy.WithPicker real
            ? new Picker(real.policy(), new ZoneName("z" + zone))
            : null;
    return new EntrySide(
        zone, views, picker, new ProbePlanner(labCase.site().probesPerSecond(), 0));
  }

  private void arrive() {
    long now = clock.nanos();
    if (now >= labCase.seconds() * NANOS_PER_SECOND) {
      return;
    }
    LabCallKind kind = drawKind();
    // Half of the work is constant and half exponentially distributed, so that work varies by a
    // factor of a few.
    double factor = 0.5 - 0.5 * Math.log(1 - arrivals.nextDouble());
    EntrySide entrySide = entrySides.get(arrivals.nextInt(entrySides.size()));
    Call call = new Call(kind, (long) (kind.serviceNanos() * factor), now, entrySide);
    countCall(call);
    clock.after(labCase.site().clientNanos(), () -> begin(call));
    double perSecond = offeredLoad(now) * capacityPerSecond();
    double gap = -Math.log(1 - arrivals.nextDouble()) / perSecond;
    clock.after((long) (gap * NANOS_PER_SECOND), this::arrive);
  }

  private void countCall(Call call) {
    result.calls++;
    result.workOfferedNanos += call.kind.serviceNanos();
    if (call.kind.priority() == Priority.CRITICAL) {
      result.criticalCalls++;
    }
    if (call.kind.name().equals("upload")) {
      result.uploads++;
    }
  }

  private double offeredLoad(long now) {
    boolean burst =
        now >= LabCase.BURST_START_NANOS && now < LabCase.BURST_START_NANOS + labCase.burstNanos();
    return burst ? labCase.burstLoad() : labCase.load();
  }

  private double capacityPerSecond() {
    int slots = labCase.site().servers() * labCase.site().slots();
    return slots * NANOS_PER_SECOND / LabCallKind.meanServiceNanos(labCase.kinds());
  }

  private LabCallKind drawKind() {
    int total = labCase.kinds().stream().mapToInt(LabCallKind::weight).sum();
    int drawn = arrivals.nextInt(total);
    for (LabCallKind kind : labCase.kinds()) {
      drawn -= kind.weight();
      if (drawn < 0) {
        return kind;
      }
    }
    return labCase.kinds().getFirst();
  }

  private void begin(Call call) {
    call.entrySide.budget.onFirstAttempt();
    clock.at(call.deadlineNanos, () -> timeOut(call));
    sendAttempt(call);
  }

  private void timeOut(Call call) {
    if (!call.ended) {
      call.ended = true;
      result.unknown++;
    }
  }

  private void sendAttempt(Call call) {
    Optional<Server> picked = pick(call);
    if (picked.isEmpty()) {
      end(call);
      return;
    }
    Server view = picked.get();
    LabServer server = servers.get(call.entrySide.servers.indexOf(view));
    call.tried.add(view);
    call.attempts++;
    result.attempts++;
    long sentNanos = clock.nanos();
    view.stats().onStart(sentNanos);
    sendProbeIfPlanned(call.entrySide);
    if (server.isAffectedBy(Disturbance.Effect.UNREACHABLE, sentNanos)) {
      clock.after(
          CONNECT_FAILURE_NANOS,
          () -> onNotRun(call, view, new Outcome.NotRun<>(ResultCode.NODE_UNREACHABLE, 0, "")));
      return;
    }
    long delayNanos = oneWayNanos(call.entrySide, server);
    clock.after(delayNanos, () -> offer(call, view, server, sentNanos));
  }

  private Optional<Server> pick(Call call) {
    long now = clock.nanos();
    if (policy instanceof LabPolicy.Oracle) {
      return pickFastest(call, now);
    }
    return call.entrySide.picker.pick(call.entrySide.servers, call.tried, now, choices);
  }

  private Optional<Server> pickFastest(Call call, long now) {
    Server best = null;
    double bestNanos = Double.MAX_VALUE;
    for (LabServer server : servers) {
      Server view = call.entrySide.servers.get(server.index);
      boolean usable =
          !call.tried.contains(view)
              && !server.isAffectedBy(Disturbance.Effect.UNREACHABLE, now)
              && !server.isAffectedBy(Disturbance.Effect.FAILS_FAST, now)
              && !server.isAffectedBy(Disturbance.Effect.DRAINING, now);
      double nanos = latencyNanos(call, server, now);
      if (usable && nanos < bestNanos) {
        best = view;
        bestNanos = nanos;
      }
    }
    return Optional.ofNullable(best);
  }

  private double latencyNanos(Call call, LabServer server, long now) {
    LoadReport load = server.admission.load(clock.nanos());
    double mean = LabCallKind.meanServiceNanos(labCase.kinds());
    double waiting = Math.max(0, load.occupancy() + 1 - load.slots()) * mean / load.slots();
    long work = (long) (call.workNanos + waiting);
    return 2.0 * oneWayNanos(call.entrySide, server) + server.finishNanos(now, work) - now;
  }

  private long oneWayNanos(EntrySide entrySide, LabServer server) {
    return entrySide.zone == server.index % ZONES ? SAME_ZONE_NANOS : labCase.site().zoneNanos();
  }

  private void sendProbeIfPlanned(EntrySide entrySide) {
    if (!(policy instanceof LabPolicy.WithPicker)) {
      return;
    }
    entrySide
        .probes
        .plan(entrySide.servers, clock.nanos(), choices)
        .ifPresent(
            view -> {
              result.probes++;
              LabServer server = servers.get(entrySide.servers.indexOf(view));
              long delayNanos = oneWayNanos(entrySide, server);
              clock.after(
                  delayNanos,
                  () -> deliverReport(view, server.admission.load(clock.nanos()), delayNanos));
            });
  }

  private void deliverReport(Server view, LoadReport load, long delayNanos) {
    if (choices.nextDouble() >= labCase.lostReportShare()) {
      clock.after(delayNanos, () -> view.stats().onReport(load, clock.nanos()));
    }
  }

  private void offer(Call call, Server view, LabServer server, long sentNanos) {
    long now = clock.nanos();
    server.drainIfDue(now);
    SlotWaiter waiter = new SlotWaiter(call, view, server, sentNanos);
    switch (server.admission.offer(waiter, now)) {
      case Decision.Admitted admitted -> waiter.admitted();
      case Decision.Refused refused -> waiter.refused(refused);
      case Decision.Queued queued -> {}
    }
  }

  private final class SlotWaiter implements Admission.Waiter {
    private final Call call;
    private final Server view;
    private final LabServer server;
    private final long sentNanos;

    SlotWaiter(Call call, Server view, LabServer server, long sentNanos) {
      this.call = call;
      this.view = view;
      this.server = server;
      this.sentNanos = sentNanos;
    }

    @Override
    public Priority priority() {
      return call.kind.priority();
    }

    @Override
    public long deadlineNanos() {
      return call.deadlineNanos - labCase.site().clientNanos();
    }

    @Override
    public void admitted() {
      long now = clock.nanos();
      boolean failsFast = server.isAffectedBy(Disturbance.Effect.FAILS_FAST, now);
      long finish =
          failsFast ? now + CONNECT_FAILURE_NANOS : server.finishNanos(now, call.workNanos);
      clock.at(finish, () -> finished(now, failsFast));
    }

    private void finished(long startedNanos, boolean failsFast) {
      long now = clock.nanos();
      server.admission.release(this, now - startedNanos, now);
      result.workNanos += call.workNanos;
      if (call.ended) {
        result.wastedNanos += call.workNanos;
      }
      LoadReport load = server.admission.load(clock.nanos());
      long delayNanos = oneWayNanos(call.entrySide, server);
      deliverReport(view, load, delayNanos);
      clock.after(delayNanos, () -> onResponse(call, view, sentNanos, failsFast));
    }

    @Override
    public void refused(Decision.Refused refusal) {
      LoadReport load = server.admission.load(clock.nanos());
      long delayNanos = oneWayNanos(call.entrySide, server);
      deliverReport(view, load, delayNanos);
      clock.after(
          delayNanos,
          () ->
              onNotRun(
                  call,
                  view,
                  new Outcome.NotRun<>(refusal.code(), refusal.retryAfterMillis(), "")));
    }
  }

  private void onResponse(Call call, Server view, long sentNanos, boolean failed) {
    long now = clock.nanos();
    view.stats().onFinish(now - sentNanos, failed, now);
    Ejection.afterCall(call.entrySide.servers, view, failed, now);
    if (call.ended) {
      return;
    }
    call.ended = true;
    if (failed) {
      result.failed++;
    } else {
      long latency = now + labCase.site().clientNanos() - call.startNanos;
      result.onAnswered(call.kind, latency);
    }
  }

  private void onNotRun(Call call, Server view, Outcome.NotRun<?> notRun) {
    long now = clock.nanos();
    boolean failed = notRun.code() == ResultCode.NODE_UNREACHABLE;
    view.stats().onAbandon(failed, now);
    if (failed) {
      Ejection.afterCall(call.entrySide.servers, view, true, now);
    }
    if (call.ended) {
      return;
    }
    RetryPolicy.Facts facts =
        new RetryPolicy.Facts(
            call.kind.idempotent(),
            true,
            call.attempts,
            0,
            call.deadlineNanos - now,
            false,
            call.entrySide.servers.size() - call.tried.size(),
            RetryPolicy.DEFAULT_MAX_ATTEMPTS,
            false);
    if (RetryPolicy.shouldRetry(notRun, facts, call.entrySide.budget)) {
      sendAttempt(call);
    } else {
      end(call);
    }
  }

  private void end(Call call) {
    call.ended = true;
    result.refused++;
    if (call.kind.priority() == Priority.CRITICAL) {
      result.refusedCritical++;
    }
  }
}
