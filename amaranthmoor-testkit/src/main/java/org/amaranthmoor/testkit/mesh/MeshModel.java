package org.amaranthmoor.testkit.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amaranthmoor.balance.AttemptPlan;
import org.amaranthmoor.balance.PickPolicy;
import org.amaranthmoor.balance.Picker;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.balance.ServerStats;
import org.amaranthmoor.caller.FirstAttemptEstimator;
import org.amaranthmoor.caller.RetryAfter;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.TargetNotice;

/**
 * Simulates requests in a mesh: callers that retry a refused request once, entry sides that shed
 * load and choose targets, target sides that admit requests, and nested calls of running requests.
 * Confined to one thread.
 */
public final class MeshModel {

  private static final double CALLER_DELAY_MILLIS = 1;
  private static final double SAME_ZONE_DELAY_MILLIS = 0.2;
  private static final double OTHER_ZONE_DELAY_MILLIS = 1.4;
  private static final double ACCEPTED_DELAY_SHARE = 1.0 / 3;

  /** Delay before a caller retries when its node does not accept connections, in milliseconds. */
  private static final long RECONNECT_DELAY_MILLIS = 100;

  private static final int MAX_ATTEMPTS = 12;
  private static final int SAMPLE_SIZE = 8;
  private static final double WORK_SIGMA = 0.3;
  private static final long NODE_START_NANOS = 750 * MeshClock.NANOS_PER_MILLI;
  private static final long NODE_START_JITTER_NANOS = 300 * MeshClock.NANOS_PER_MILLI;
  private static final long NODE_JOIN_NANOS = 120 * MeshClock.NANOS_PER_MILLI;

  private final MeshShape shape;
  private final MeshClock clock = new MeshClock();
  private final SplittableRandom random;
  private final List<EntrySide> entrySides = new ArrayList<>();
  private final MeshResult result = new MeshResult();
  private double load = 1;

  /** The entry side of a node, which the callers on its machine use. */
  private final class EntrySide {
    private final MeshNodeModel node;
    private final Picker picker;
    private FirstAttemptEstimator firstAttempts = new FirstAttemptEstimator();
    private Map<Integer, List<Server>> servers = new HashMap<>();

    EntrySide(MeshNodeModel node) {
      this.node = node;
      this.picker = new Picker(new PickPolicy.ZoneFirst(SAMPLE_SIZE), node.zone);
    }

    void updateServers() {
      Map<Integer, List<Server>> known = new HashMap<>();
      for (EntrySide other : entrySides) {
        if (other.node.up) {
          known.computeIfAbsent(other.node.service, key -> new ArrayList<>()).add(server(other));
        }
      }
      servers = known;
    }

    private Server server(EntrySide other) {
      return servers.getOrDefault(other.node.service, List.of()).stream()
          .filter(
              s ->
                  s.node().equals(other.node.name)
                      && s.incarnation().value() == other.node.incarnationNumber)
          .findFirst()
          .orElseGet(
              () ->
                  new Server(
                      other.node.name,
                      new Incarnation(other.node.incarnationNumber),
                      new TargetName(other.node.name.value()),
                      other.node.zone,
                      "h",
                      1,
                      shape.slots(),
                      new ServerStats(clock.now())));
    }
  }

  /**
   * Creates a mesh.
   *
   * @param shape size and load of the mesh
   * @param seed seed of arrivals, work and slow phases
   */
  public MeshModel(MeshShape shape, long seed) {
    this.shape = shape;
    this.random = new SplittableRandom(seed);
    int number = 0;
    for (int service = 0; service < shape.targets().size(); service++) {
      for (int i = 0; i < shape.targets().get(service); i++) {
        int zone = number % shape.zones();
        entrySides.add(
            new EntrySide(
                new MeshNodeModel("n" + number++, zone, service, shape, clock, random.split())));
      }
    }
    entrySides.forEach(EntrySide::updateServers);
  }

  /**
   * Changes the offered load at a given time.
   *
   * @param atSeconds time since the start of the run
   * @param factor offered load as a multiple of the arrival rates of the kinds
   * @return this model
   */
  public MeshModel load(double atSeconds, double factor) {
    at(atSeconds, () -> load = factor);
    return this;
  }

  /**
   * Removes all but some targets of a service, with their nodes, at a given time.
   *
   * @param atSeconds time since the start of the run
   * @param service index of the service
   * @param remaining number of targets that remain
   * @return this model
   */
  public MeshModel keepTargets(double atSeconds, int service, int remaining) {
    at(
        atSeconds,
        () -> {
          List<EntrySide> targets =
              entrySides.stream().filter(e -> e.node.service == service).toList();
          for (EntrySide removed : targets.subList(remaining, targets.size())) {
            entrySides.remove(removed);
          }
          entrySides.forEach(EntrySide::updateServers);
        });
    return this;
  }

  /**
   * Cuts the power of all nodes and targets for a given time.
   *
   * @param atSeconds time since the start of the run
   * @param seconds length of the outage
   * @return this model
   */
  public MeshModel powerLoss(double atSeconds, double seconds) {
    at(atSeconds, () -> entrySides.forEach(entrySide -> entrySide.node.powerOff()));
    for (EntrySide entrySide : entrySides) {
      at(atSeconds + seconds, entrySide.node::targetStarts);
      long startNanos = NODE_START_NANOS + random.nextLong(NODE_START_JITTER_NANOS);
      at(
          atSeconds + seconds + startNanos / (double) MeshClock.NANOS_PER_SECOND,
          () -> {
            entrySide.node.powerOn();
            entrySide.firstAttempts = new FirstAttemptEstimator();
            clock.after(NODE_JOIN_NANOS, () -> entrySides.forEach(EntrySide::updateServers));
          });
    }
    return this;
  }

  /**
   * Makes the targets of a service in the first availability zone state a rate limit from a given
   * time on.
   *
   * @param atSeconds time since the start of the run
   * @param service index of the service
   * @param perSecond requests per second that each of these targets accepts
   * @return this model
   */
  public MeshModel limitRate(double atSeconds, int service, double perSecond) {
    at(
        atSeconds,
        () ->
            entrySides.stream()
                .map(entrySide -> entrySide.node)
                .filter(
                    node ->
                        node.service == service
                            && node.zone.equals(entrySides.getFirst().node.zone))
                .forEach(node -> node.statedLimit = new TargetNotice.Limit.Rate(perSecond)));
    return this;
  }

  private void at(double seconds, Runnable action) {
    clock.at((long) ((1 + seconds) * MeshClock.NANOS_PER_SECOND), action);
  }

  /**
   * Runs until all requests that arrive within a given time have ended.
   *
   * @param seconds how long requests arrive
   * @return the outcomes of the requests
   */
  public MeshResult run(double seconds) {
    long end = (long) ((1 + seconds) * MeshClock.NANOS_PER_SECOND);
    for (MeshRequestKind kind : shape.kinds()) {
      arrive(kind, end);
    }
    clock.runUntil(end + 3 * MeshClock.NANOS_PER_SECOND);
    return result;
  }

  private void arrive(MeshRequestKind kind, long end) {
    double gapNanos =
        -Math.log(1 - random.nextDouble()) * MeshClock.NANOS_PER_SECOND / (kind.perSecond() * load);
    long at = clock.now() + (long) gapNanos;
    if (at < end) {
      clock.at(
          at,
          () -> {
            Caller caller =
                new Caller(kind, entrySides.get(random.nextInt(entrySides.size())), clock.now());
            result.onFirstRequest(kind, caller.firstAttemptNanos);
            caller.send(false);
            arrive(kind, end);
          });
    }
  }

  private double drawWork(double mean) {
    return mean * Math.exp(WORK_SIGMA * random.nextGaussian() - WORK_SIGMA * WORK_SIGMA / 2);
  }

  private static long nanos(double millis) {
    return (long) (millis * MeshClock.NANOS_PER_MILLI);
  }

  // A caller that retries once, within the deadline of its first attempt.
  private final class Caller {
    private final MeshRequestKind kind;
    private final EntrySide entrySide;
    private final long firstAttemptNanos;
    private final long deadlineNanos;

    Caller(MeshRequestKind kind, EntrySide entrySide, long firstAttemptNanos) {
      this.kind = kind;
      this.entrySide = entrySide;
      this.firstAttemptNanos = firstAttemptNanos;
      this.deadlineNanos = firstAttemptNanos + nanos(kind.deadlineMillis());
    }

    void send(boolean isRetry) {
      if (!entrySide.node.up) {
        retryOnceAfter(isRetry, RECONNECT_DELAY_MILLIS);
        return;
      }
      long waitMillis = (deadlineNanos - clock.now()) / MeshClock.NANOS_PER_MILLI;
      clock.after(
          nanos(CALLER_DELAY_MILLIS),
          () ->
              entrySide.node.onProcessor(
                  shape.messageMillis(), () -> admitAtEntrySide(isRetry, waitMillis)));
    }

    private void admitAtEntrySide(boolean isRetry, long waitMillis) {
      long now = clock.now();
      long spentMillis =
          entrySide.firstAttempts.millisSinceFirstAttempt(kind.rule(), waitMillis, now);
      long objectiveNanos = now + nanos(kind.objectiveMillis() - spentMillis);
      if (entrySide.node.shedder.admits(kind.priority(), random.nextDouble(), now)) {
        Consumer<CallResult> onEnd = callResult -> respond(isRetry, objectiveNanos, callResult);
        new Call(kind, entrySide, deadlineNanos, objectiveNanos, false, onEnd).next();
      } else {
        respond(isRetry, objectiveNanos, CallResult.BUSY);
      }
    }

    private void respond(boolean isRetry, long objectiveNanos, CallResult callResult) {
      clock.after(nanos(CALLER_DELAY_MILLIS), () -> receive(isRetry, objectiveNanos, callResult));
    }

    private void receive(boolean isRetry, long objectiveNanos, CallResult callResult) {
      switch (callResult) {
        case SERVED -> {
          if (clock.now() <= deadlineNanos) {
            result.onServed(kind, firstAttemptNanos, clock.now());
          } else {
            result.onLost(kind, firstAttemptNanos, false);
          }
        }
        case FAILED -> result.onLost(kind, firstAttemptNanos, false);
        case REFUSED, BUSY -> {
          entrySide.firstAttempts.onNotServed(kind.rule(), clock.now());
          retryOnceAfter(isRetry, retryDelayMillis(objectiveNanos, callResult));
        }
      }
    }

    private long retryDelayMillis(long objectiveNanos, CallResult callResult) {
      return RetryAfter.delayMillis(
          callResult == CallResult.BUSY ? ResultCode.NODE_BUSY : ResultCode.OVERLOADED,
          objectiveNanos - clock.now(),
          deadlineNanos - clock.now(),
          ACCEPTED_DELAY_SHARE,
          0,
          random);
    }

    private void retryOnceAfter(boolean isRetry, long millis) {
      if (isRetry || clock.now() + millis * MeshClock.NANOS_PER_MILLI >= deadlineNanos) {
        result.onLost(kind, firstAttemptNanos, isRetry);
      } else {
        clock.after(millis * MeshClock.NANOS_PER_MILLI, () -> send(true));
      }
    }
  }

  private enum CallResult {
    SERVED,
    FAILED,
    REFUSED,
    BUSY
  }

  // A request at its entry side.
  private final class Call {
    private final MeshRequestKind kind;
    private final EntrySide entrySide;
    private final long deadlineNanos;
    private final long objectiveNanos;
    private final boolean needed;
    private final Consumer<CallResult> onEnd;
    private final AttemptPlan plan;
    private int attempts;

    Call(
        MeshRequestKind kind,
        EntrySide entrySide,
        long deadlineNanos,
        long objectiveNanos,
        boolean needed,
        Consumer<CallResult> onEnd) {
      this.kind = kind;
      this.entrySide = entrySide;
      this.deadlineNanos = deadlineNanos;
      this.objectiveNanos = objectiveNanos;
      this.needed = needed;
      this.onEnd = onEnd;
      AttemptPlan.RequestClass requestClass =
          needed
              ? AttemptPlan.RequestClass.NESTED
              : objectiveNanos > clock.now()
                  ? AttemptPlan.RequestClass.IN_TIME
                  : AttemptPlan.RequestClass.LATE;
      this.plan =
          new AttemptPlan(
              entrySide.servers.getOrDefault(kind.service(), List.of()),
              entrySide.picker,
              entrySide.node.zone,
              kind.rule(),
              requestClass);
    }

    void next() {
      Optional<AttemptPlan.Choice> choice =
          attempts < MAX_ATTEMPTS ? plan.next(clock.now(), random) : Optional.empty();
      if (choice.isEmpty()) {
        onEnd.accept(CallResult.REFUSED);
        return;
      }
      attempts++;
      result.onAttempt();
      Server server = choice.get().server();
      Optional<EntrySide> target =
          entrySides.stream().filter(e -> e.node.name.equals(server.node())).findFirst();
      if (target.isEmpty()
          || !target.get().node.up
          || target.get().node.incarnationNumber != server.incarnation().value()) {
        plan.onReply(choice.get(), AttemptPlan.Reply.UNAVAILABLE, clock.now());
        next();
        return;
      }
      boolean sameZone = server.zone().equals(entrySide.node.zone);
      long delayNanos = nanos(sameZone ? SAME_ZONE_DELAY_MILLIS : OTHER_ZONE_DELAY_MILLIS);
      boolean sameNode = target.get() == entrySide;
      Runnable arrive =
          () ->
              new TargetAttempt(
                      this, choice.get(), target.get().node, sameNode ? 0 : delayNanos, sameZone)
                  .arrive();
      if (sameNode) {
        arrive.run();
      } else {
        clock.after(
            delayNanos, () -> target.get().node.onProcessor(shape.messageMillis() / 2, arrive));
      }
    }

    void onAnswered(AttemptPlan.Choice choice, boolean sameZone) {
      plan.onReply(choice, AttemptPlan.Reply.ACCEPTED, clock.now());
      if (!sameZone) {
        result.onResponseFromOtherZone();
      }
      onEnd.accept(CallResult.SERVED);
    }

    void onFailed(AttemptPlan.Choice choice) {
      plan.onReply(choice, AttemptPlan.Reply.ACCEPTED, clock.now());
      onEnd.accept(CallResult.FAILED);
    }

    void onNotRun(AttemptPlan.Choice choice, ResultCode code) {
      plan.onReply(
          choice,
          code == ResultCode.TOO_LATE_HERE
              ? AttemptPlan.Reply.WAIT_TOO_LONG
              : AttemptPlan.Reply.UNAVAILABLE,
          clock.now());
      next();
    }
  }

  // An attempt of a request at a target side.
  private final class TargetAttempt implements Admission.Waiter {
    private final Call call;
    private final AttemptPlan.Choice choice;
    private final MeshNodeModel node;
    private final long delayNanos;
    private final boolean sameZone;
    private boolean decided;

    TargetAttempt(
        Call call,
        AttemptPlan.Choice choice,
        MeshNodeModel node,
        long delayNanos,
        boolean sameZone) {
      this.call = call;
      this.choice = choice;
      this.node = node;
      this.delayNanos = delayNanos;
      this.sameZone = sameZone;
    }

    void arrive() {
      switch (node.admission.offer(this, clock.now())) {
        case Admission.Decision.Admitted now -> admitted();
        case Admission.Decision.Queued later -> scheduleRecheck(node.admission);
        case Admission.Decision.Refused refusal -> refused(refusal);
      }
    }

    private void scheduleRecheck(Admission admission) {
      clock.after(
          admission.recheckNanos(clock.now()),
          () -> {
            if (!decided && node.admission == admission && clock.now() < call.deadlineNanos) {
              admission.recheck(clock.now());
              scheduleRecheck(admission);
            }
          });
    }

    @Override
    public void admitted() {
      decided = true;
      Admission admission = node.admission;
      long start = clock.now();
      double work = drawWork(call.kind.workMillis());
      Optional<MeshRequestKind.Call> calls =
          call.kind.call().filter(c -> random.nextDouble() < c.share());
      clock.after(
          node.startWork(work),
          () -> {
            if (node.admission != admission) {
              return;
            }
            if (calls.isEmpty()) {
              finish(admission, start, true);
            } else {
              callNext(calls.get(), calls.get().times(), admission, start);
            }
          });
    }

    private void callNext(
        MeshRequestKind.Call calls, int remaining, Admission admission, long start) {
      if (remaining == 0 || clock.now() > call.deadlineNanos) {
        finish(admission, start, remaining == 0);
        return;
      }
      EntrySide entrySide =
          entrySides.stream().filter(e -> e.node == node).findFirst().orElse(call.entrySide);
      long now = clock.now();
      long deadlineNanos = Math.min(call.deadlineNanos, now + nanos(calls.kind().deadlineMillis()));
      long objectiveNanos = now + nanos(calls.kind().objectiveMillis());
      Consumer<CallResult> onEnd =
          callResult -> onCallEnded(calls, remaining, admission, start, callResult);
      entrySide.node.onProcessor(
          shape.messageMillis(),
          () ->
              new Call(calls.kind(), entrySide, deadlineNanos, objectiveNanos, true, onEnd).next());
    }

    // A run fails if one of its nested calls is not served.
    private void onCallEnded(
        MeshRequestKind.Call calls,
        int remaining,
        Admission admission,
        long start,
        CallResult callResult) {
      if (node.admission != admission) {
        return;
      }
      if (callResult == CallResult.SERVED) {
        callNext(calls, remaining - 1, admission, start);
      } else {
        finish(admission, start, false);
      }
    }

    private void finish(Admission admission, long start, boolean succeeded) {
      node.endWork();
      admission.onLimit(node.statedLimit, start, clock.now());
      admission.onSlowdown(node.reportedSlowdown(), clock.now());
      admission.release(this, clock.now() - start, clock.now());
      respond(
          () -> {
            if (succeeded) {
              call.onAnswered(choice, sameZone);
            } else {
              call.onFailed(choice);
            }
          });
    }

    @Override
    public void refused(Admission.Decision.Refused refusal) {
      decided = true;
      respond(() -> call.onNotRun(choice, refusal.code()));
    }

    private void respond(Runnable action) {
      if (node.statedLimit instanceof TargetNotice.Limit.Rate) {
        choice.server().stats().onReport(node.admission.load(clock.now()), clock.now());
      }
      if (delayNanos == 0) {
        action.run();
      } else {
        clock.after(
            delayNanos, () -> call.entrySide.node.onProcessor(shape.messageMillis() / 2, action));
      }
    }

    @Override
    public Priority priority() {
      return call.needed ? Priority.CRITICAL : call.kind.priority();
    }

    @Override
    public long deadlineNanos() {
      return call.deadlineNanos;
    }

    @Override
    public RuleName rule() {
      return call.kind.rule();
    }

    @Override
    public boolean nested() {
      return call.needed;
    }

    @Override
    public long objectiveNanos() {
      return Math.min(call.objectiveNanos, call.deadlineNanos);
    }

    @Override
    public int maxWaitPercent() {
      return choice.maxWaitPercent();
    }
  }
}
