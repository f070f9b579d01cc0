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
 * Runs requests through a model of the mesh: callers that come back once, entry sides that place,
 * target sides that admit, and calls of running requests. Confined to one thread.
 */
public final class MeshModel {

  private static final double CALLER_MILLIS = 1;
  private static final double ZONE_MILLIS = 0.2;
  private static final double FAR_MILLIS = 1.4;
  private static final double ACCEPTED_SHARE = 1.0 / 3;

  /** Pause of a caller that gets no connection, in milliseconds. */
  private static final long NO_NODE_MILLIS = 100;

  private static final int MAX_ASKED = 12;
  private static final int DRAWN = 8;
  private static final double SPREAD = 0.3;
  private static final long START_NANOS = 750 * MeshClock.MILLI;
  private static final long START_SPREAD_NANOS = 300 * MeshClock.MILLI;
  private static final long JOIN_NANOS = 120 * MeshClock.MILLI;

  private final MeshShape shape;
  private final MeshClock clock = new MeshClock();
  private final SplittableRandom random;
  private final List<Entry> entries = new ArrayList<>();
  private final MeshResult result = new MeshResult();
  private double load = 1;

  /** An entry side: the node that callers of a machine use. */
  private final class Entry {
    private final MeshNodeModel node;
    private final Picker picker;
    private FirstAttemptEstimator firstAttempts = new FirstAttemptEstimator();
    private Map<Integer, List<Server>> servers = new HashMap<>();

    Entry(MeshNodeModel node) {
      this.node = node;
      this.picker = new Picker(new PickPolicy.ZoneFirst(DRAWN), node.zone);
    }

    void learnServers() {
      Map<Integer, List<Server>> known = new HashMap<>();
      for (Entry other : entries) {
        if (other.node.up) {
          known.computeIfAbsent(other.node.service, key -> new ArrayList<>()).add(server(other));
        }
      }
      servers = known;
    }

    private Server server(Entry other) {
      return servers.getOrDefault(other.node.service, List.of()).stream()
          .filter(
              s -> s.node().equals(other.node.name) && s.incarnation().value() == other.node.life)
          .findFirst()
          .orElseGet(
              () ->
                  new Server(
                      other.node.name,
                      new Incarnation(other.node.life),
                      new TargetName(other.node.name.value()),
                      other.node.zone,
                      "h",
                      1,
                      shape.slots(),
                      new ServerStats(clock.now())));
    }
  }

  /**
   * Creates a model.
   *
   * @param shape what the mesh consists of
   * @param seed decides arrivals, work and phases
   */
  public MeshModel(MeshShape shape, long seed) {
    this.shape = shape;
    this.random = new SplittableRandom(seed);
    int number = 0;
    for (int service = 0; service < shape.targets().size(); service++) {
      for (int i = 0; i < shape.targets().get(service); i++) {
        int zone = number % shape.zones();
        entries.add(
            new Entry(
                new MeshNodeModel("n" + number++, zone, service, shape, clock, random.split())));
      }
    }
    entries.forEach(Entry::learnServers);
  }

  /**
   * Sets how much of the usual load arrives, from a moment on.
   *
   * @param atSeconds when
   * @param factor part of the usual load
   * @return this model
   */
  public MeshModel load(double atSeconds, double factor) {
    at(atSeconds, () -> load = factor);
    return this;
  }

  /**
   * Takes targets of a service away, all but some, from a moment on.
   *
   * @param atSeconds when
   * @param service number of the service
   * @param kept how many targets stay
   * @return this model
   */
  public MeshModel keepTargets(double atSeconds, int service, int kept) {
    at(
        atSeconds,
        () -> {
          List<Entry> of = entries.stream().filter(e -> e.node.service == service).toList();
          for (Entry gone : of.subList(kept, of.size())) {
            entries.remove(gone);
          }
          entries.forEach(Entry::learnServers);
        });
    return this;
  }

  /**
   * Takes the power of all nodes and targets for a time, from a moment on.
   *
   * @param atSeconds when
   * @param seconds how long
   * @return this model
   */
  public MeshModel powerLoss(double atSeconds, double seconds) {
    at(atSeconds, () -> entries.forEach(entry -> entry.node.powerOff()));
    for (Entry entry : entries) {
      at(atSeconds + seconds, entry.node::targetStarts);
      long startNanos = START_NANOS + random.nextLong(START_SPREAD_NANOS);
      at(
          atSeconds + seconds + startNanos / (double) MeshClock.SECOND,
          () -> {
            entry.node.powerOn();
            entry.firstAttempts = new FirstAttemptEstimator();
            clock.after(JOIN_NANOS, () -> entries.forEach(Entry::learnServers));
          });
    }
    return this;
  }

  /**
   * Lets the targets of a service in the first availability zone state a rate of requests, from a
   * moment on.
   *
   * @param atSeconds when
   * @param service number of the service
   * @param perSecond requests a second that each of them takes
   * @return this model
   */
  public MeshModel limit(double atSeconds, int service, double perSecond) {
    at(
        atSeconds,
        () ->
            entries.stream()
                .map(entry -> entry.node)
                .filter(
                    node ->
                        node.service == service && node.zone.equals(entries.getFirst().node.zone))
                .forEach(node -> node.statedLimit = new TargetNotice.Limit.Rate(perSecond)));
    return this;
  }

  private void at(double seconds, Runnable action) {
    clock.at((long) ((1 + seconds) * MeshClock.SECOND), action);
  }

  /**
   * Runs for a time.
   *
   * @param seconds how long requests arrive
   * @return what became of them
   */
  public MeshResult run(double seconds) {
    long end = (long) ((1 + seconds) * MeshClock.SECOND);
    for (MeshRequestKind kind : shape.kinds()) {
      arrive(kind, end);
    }
    clock.runUntil(end + 3 * MeshClock.SECOND);
    return result;
  }

  private void arrive(MeshRequestKind kind, long end) {
    double gapNanos =
        -Math.log(1 - random.nextDouble()) * MeshClock.SECOND / (kind.perSecond() * load);
    long at = clock.now() + (long) gapNanos;
    if (at < end) {
      clock.at(
          at,
          () -> {
            Caller caller =
                new Caller(kind, entries.get(random.nextInt(entries.size())), clock.now());
            result.onOwed(kind, caller.firstNanos);
            caller.send(false);
            arrive(kind, end);
          });
    }
  }

  private double spread(double mean) {
    return mean * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
  }

  private static long nanos(double millis) {
    return (long) (millis * MeshClock.MILLI);
  }

  // A caller with its wait, who comes back once.
  private final class Caller {
    private final MeshRequestKind kind;
    private final Entry entry;
    private final long firstNanos;
    private final long deadline;

    Caller(MeshRequestKind kind, Entry entry, long firstNanos) {
      this.kind = kind;
      this.entry = entry;
      this.firstNanos = firstNanos;
      this.deadline = firstNanos + nanos(kind.deadlineMillis());
    }

    void send(boolean again) {
      if (!entry.node.up) {
        comeBack(again, NO_NODE_MILLIS);
        return;
      }
      long waitMillis = (deadline - clock.now()) / MeshClock.MILLI;
      clock.after(
          nanos(CALLER_MILLIS),
          () -> entry.node.onProcessor(shape.messageMillis(), () -> enter(again, waitMillis)));
    }

    private void enter(boolean again, long waitMillis) {
      long now = clock.now();
      long spentMillis = entry.firstAttempts.millisSinceFirstAttempt(kind.rule(), waitMillis, now);
      long objective = now + nanos(kind.objectiveMillis() - spentMillis);
      if (entry.node.shedder.admits(kind.priority(), random.nextDouble(), now)) {
        Consumer<End> onEnd = end -> answer(again, objective, end);
        new Call(kind, entry, deadline, objective, false, onEnd).next();
      } else {
        answer(again, objective, End.BUSY);
      }
    }

    private void answer(boolean again, long objective, End end) {
      clock.after(nanos(CALLER_MILLIS), () -> receive(again, objective, end));
    }

    private void receive(boolean again, long objective, End end) {
      switch (end) {
        case SERVED -> {
          if (clock.now() <= deadline) {
            result.onServed(kind, firstNanos, clock.now());
          } else {
            result.onLost(kind, firstNanos, false);
          }
        }
        case FAILED -> result.onLost(kind, firstNanos, false);
        case REFUSED, BUSY -> {
          entry.firstAttempts.onNotServed(kind.rule(), clock.now());
          comeBack(again, pauseMillis(objective, end));
        }
      }
    }

    private long pauseMillis(long objective, End end) {
      return RetryAfter.delayMillis(
          end == End.BUSY ? ResultCode.NODE_BUSY : ResultCode.OVERLOADED,
          objective - clock.now(),
          deadline - clock.now(),
          ACCEPTED_SHARE,
          0,
          random);
    }

    private void comeBack(boolean again, long millis) {
      if (again || clock.now() + millis * MeshClock.MILLI >= deadline) {
        result.onLost(kind, firstNanos, again);
      } else {
        clock.after(millis * MeshClock.MILLI, () -> send(true));
      }
    }
  }

  private enum End {
    SERVED,
    FAILED,
    REFUSED,
    BUSY
  }

  // One request at its entry side.
  private final class Call {
    private final MeshRequestKind kind;
    private final Entry entry;
    private final long deadline;
    private final long objective;
    private final boolean nested;
    private final Consumer<End> onEnd;
    private final AttemptPlan attemptPlan;
    private int asked;

    Call(
        MeshRequestKind kind,
        Entry entry,
        long deadline,
        long objective,
        boolean nested,
        Consumer<End> onEnd) {
      this.kind = kind;
      this.entry = entry;
      this.deadline = deadline;
      this.objective = objective;
      this.nested = nested;
      this.onEnd = onEnd;
      AttemptPlan.RequestClass requestClass =
          nested
              ? AttemptPlan.RequestClass.NESTED
              : objective > clock.now()
                  ? AttemptPlan.RequestClass.IN_TIME
                  : AttemptPlan.RequestClass.LATE;
      this.attemptPlan =
          new AttemptPlan(
              entry.servers.getOrDefault(kind.service(), List.of()),
              entry.picker,
              entry.node.zone,
              kind.rule(),
              requestClass);
    }

    void next() {
      Optional<AttemptPlan.Choice> choice =
          asked < MAX_ASKED ? attemptPlan.next(clock.now(), random) : Optional.empty();
      if (choice.isEmpty()) {
        onEnd.accept(End.REFUSED);
        return;
      }
      asked++;
      result.onAsked();
      Server server = choice.get().server();
      Optional<Entry> target =
          entries.stream().filter(e -> e.node.name.equals(server.node())).findFirst();
      if (target.isEmpty()
          || !target.get().node.up
          || target.get().node.life != server.incarnation().value()) {
        attemptPlan.onReply(choice.get(), AttemptPlan.Reply.UNAVAILABLE, clock.now());
        next();
        return;
      }
      boolean near = server.zone().equals(entry.node.zone);
      long delay = nanos(near ? ZONE_MILLIS : FAR_MILLIS);
      boolean own = target.get() == entry;
      Runnable arrive =
          () -> new Visit(this, choice.get(), target.get().node, own ? 0 : delay, near).arrive();
      if (own) {
        arrive.run();
      } else {
        clock.after(delay, () -> target.get().node.onProcessor(shape.messageMillis() / 2, arrive));
      }
    }

    void answered(AttemptPlan.Choice choice, boolean near) {
      attemptPlan.onReply(choice, AttemptPlan.Reply.ACCEPTED, clock.now());
      if (!near) {
        result.onAnswerFromAfar();
      }
      onEnd.accept(End.SERVED);
    }

    void failed(AttemptPlan.Choice choice) {
      attemptPlan.onReply(choice, AttemptPlan.Reply.ACCEPTED, clock.now());
      onEnd.accept(End.FAILED);
    }

    void notRun(AttemptPlan.Choice choice, ResultCode code) {
      attemptPlan.onReply(
          choice,
          code == ResultCode.TOO_LATE_HERE
              ? AttemptPlan.Reply.WAIT_TOO_LONG
              : AttemptPlan.Reply.UNAVAILABLE,
          clock.now());
      next();
    }
  }

  // One request at a target side.
  private final class Visit implements Admission.Waiter {
    private final Call call;
    private final AttemptPlan.Choice choice;
    private final MeshNodeModel node;
    private final long delay;
    private final boolean near;
    private boolean decided;

    Visit(Call call, AttemptPlan.Choice choice, MeshNodeModel node, long delay, boolean near) {
      this.call = call;
      this.choice = choice;
      this.node = node;
      this.delay = delay;
      this.near = near;
    }

    void arrive() {
      switch (node.admission.offer(this, clock.now())) {
        case Admission.Decision.Admitted now -> admitted();
        case Admission.Decision.Queued later -> recheckLater(node.admission);
        case Admission.Decision.Refused refusal -> refused(refusal);
      }
    }

    private void recheckLater(Admission admission) {
      clock.after(
          admission.recheckNanos(clock.now()),
          () -> {
            if (!decided && node.admission == admission && clock.now() < call.deadline) {
              admission.recheck(clock.now());
              recheckLater(admission);
            }
          });
    }

    @Override
    public void admitted() {
      decided = true;
      Admission admission = node.admission;
      long start = clock.now();
      double work = spread(call.kind.workMillis());
      Optional<MeshRequestKind.Call> calls =
          call.kind.call().filter(c -> random.nextDouble() < c.share());
      clock.after(
          node.startWork(work),
          () -> {
            if (node.admission != admission) {
              return;
            }
            if (calls.isEmpty()) {
              end(admission, start, true);
            } else {
              callNext(calls.get(), calls.get().times(), admission, start);
            }
          });
    }

    private void callNext(MeshRequestKind.Call calls, int left, Admission admission, long start) {
      if (left == 0 || clock.now() > call.deadline) {
        end(admission, start, left == 0);
        return;
      }
      Entry entry = entries.stream().filter(e -> e.node == node).findFirst().orElse(call.entry);
      long now = clock.now();
      long deadline = Math.min(call.deadline, now + nanos(calls.kind().deadlineMillis()));
      long objective = now + nanos(calls.kind().objectiveMillis());
      Consumer<End> onEnd = end -> onCalled(calls, left, admission, start, end);
      entry.node.onProcessor(
          shape.messageMillis(),
          () -> new Call(calls.kind(), entry, deadline, objective, true, onEnd).next());
    }

    // A run whose call was not answered fails.
    private void onCalled(
        MeshRequestKind.Call calls, int left, Admission admission, long start, End end) {
      if (node.admission != admission) {
        return;
      }
      if (end == End.SERVED) {
        callNext(calls, left - 1, admission, start);
      } else {
        end(admission, start, false);
      }
    }

    private void end(Admission admission, long start, boolean well) {
      node.endWork();
      admission.onLimit(node.statedLimit, start, clock.now());
      admission.onSlowdown(node.reportedFactor(), clock.now());
      admission.release(this, clock.now() - start, clock.now());
      back(
          () -> {
            if (well) {
              call.answered(choice, near);
            } else {
              call.failed(choice);
            }
          });
    }

    @Override
    public void refused(Admission.Decision.Refused refusal) {
      decided = true;
      back(() -> call.notRun(choice, refusal.code()));
    }

    private void back(Runnable action) {
      if (node.statedLimit instanceof TargetNotice.Limit.Rate) {
        choice.server().stats().onReport(node.admission.load(clock.now()), clock.now());
      }
      if (delay == 0) {
        action.run();
      } else {
        clock.after(delay, () -> call.entry.node.onProcessor(shape.messageMillis() / 2, action));
      }
    }

    @Override
    public Priority priority() {
      return call.nested ? Priority.CRITICAL : call.kind.priority();
    }

    @Override
    public long deadlineNanos() {
      return call.deadline;
    }

    @Override
    public RuleName rule() {
      return call.kind.rule();
    }

    @Override
    public boolean nested() {
      return call.nested;
    }

    @Override
    public long objectiveNanos() {
      return Math.min(call.objective, call.deadline);
    }

    @Override
    public int maxWaitPercent() {
      return choice.maxWaitPercent();
    }
  }
}
