package org.amaranthmoor.testkit.mesh;

import java.util.random.RandomGenerator;
import org.amaranthmoor.caller.LoadShedder;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.TargetNotice;

/**
 * A simulated node with its processor and its target. Confined to one thread.
 *
 * <p>The target alternates between normal and slow phases. How long work takes depends only on the
 * speed at its start.
 */
final class MeshNodeModel {

  /** Share of the slots in use above which work that starts is slowed down. */
  private static final double KNEE_SLOT_SHARE = 0.8;

  private static final double KNEE_SLOWDOWN = 1.7;
  private static final double CONCURRENCY_SLOT_SHARE = 0.84;
  private static final int QUEUE_CAPACITY_PER_SLOT = 8;
  private static final double FIRST_WORK_SHARE = 0.3;
  private static final double COLD_SLOWDOWN = 2;
  private static final long COLD_NANOS = 3 * MeshClock.NANOS_PER_SECOND;

  /** Share of a processor core that a node may use. */
  private static final double CORE_SHARE = 0.6;

  /**
   * Additional processor time of the first messages after a restart, as a multiple of the normal.
   */
  private static final double COLD_CODE_EXTRA_COST = 10;

  /** Processor time after which the additional cost of cold code has fallen by a factor of e. */
  private static final double WARM_UP_NANOS = 0.5e9;

  private static final long PROBE_DELAY_MILLIS = 2;
  private static final long PROBE_PERIOD_MILLIS = 50;

  final NodeName name;
  final ZoneName zone;
  final int service;
  private final MeshClock clock;
  private final RandomGenerator random;
  private final MeshShape shape;
  Admission admission;
  LoadShedder shedder;
  TargetNotice.Limit statedLimit = new TargetNotice.Limit.Unstated();
  boolean up = true;
  int incarnationNumber;
  private int running;
  private double phaseSlowdown = 1;
  private long coldUntilNanos;
  private long processorFreeAtNanos;
  private double spentProcessorNanos = Double.MAX_VALUE;
  private boolean probing;

  MeshNodeModel(
      String name,
      int zone,
      int service,
      MeshShape shape,
      MeshClock clock,
      RandomGenerator random) {
    this.name = new NodeName(name);
    this.zone = new ZoneName("zone-" + zone);
    this.service = service;
    this.shape = shape;
    this.clock = clock;
    this.random = random;
    resetState();
    nextPhase();
  }

  private void resetState() {
    int concurrency = Math.max(1, (int) (shape.slots() * CONCURRENCY_SLOT_SHARE));
    admission =
        new Admission(
            new Admission.Limits(
                shape.slots(),
                shape.slots() * QUEUE_CAPACITY_PER_SLOT,
                concurrency,
                FIRST_WORK_SHARE),
            random,
            clock.now());
    admission.setSpeedProbe(this::probe);
    shedder = new LoadShedder(clock.now());
  }

  private void nextPhase() {
    MeshShape.Phases phases = shape.phases();
    boolean endsSlowPhase = phaseSlowdown > 1;
    phaseSlowdown = endsSlowPhase ? 1 : phases.factor();
    double mean =
        endsSlowPhase
            ? phases.meanMillis() * (1 - phases.share()) / phases.share()
            : phases.meanMillis();
    if (phases.share() == 0) {
      phaseSlowdown = 1;
      return;
    }
    clock.after(
        (long) (-Math.log(1 - random.nextDouble()) * mean * MeshClock.NANOS_PER_MILLI),
        this::nextPhase);
  }

  private double coldSlowdown() {
    return clock.now() < coldUntilNanos ? COLD_SLOWDOWN : 1;
  }

  double reportedSlowdown() {
    return phaseSlowdown * coldSlowdown();
  }

  /** Starts work and returns how long it takes, in nanoseconds. */
  long startWork(double workMillis) {
    running++;
    double kneeSlowdown = running > KNEE_SLOT_SHARE * shape.slots() ? KNEE_SLOWDOWN : 1;
    return (long) (workMillis * MeshClock.NANOS_PER_MILLI * reportedSlowdown() * kneeSlowdown);
  }

  void endWork() {
    running--;
  }

  /** Probes the speed of the target for as long as requests wait for it. */
  private void probe() {
    if (!probing) {
      probing = true;
      requestSpeed(incarnationNumber);
    }
  }

  private void requestSpeed(int atIncarnation) {
    onProcessor(
        shape.messageMillis() / 2,
        () ->
            clock.after(
                PROBE_DELAY_MILLIS * MeshClock.NANOS_PER_MILLI,
                () ->
                    onProcessor(
                        shape.messageMillis() / 2,
                        () -> {
                          if (atIncarnation != incarnationNumber) {
                            return;
                          }
                          admission.onSlowdown(reportedSlowdown(), clock.now());
                          probing = admission.waitsForSpeed(clock.now());
                          if (probing) {
                            clock.after(
                                PROBE_PERIOD_MILLIS * MeshClock.NANOS_PER_MILLI,
                                () -> requestSpeed(atIncarnation));
                          }
                        })));
  }

  /**
   * Runs an action once the processor has spent the given time on it; drops the action if the node
   * loses power before.
   */
  void onProcessor(double millis, Runnable action) {
    int atIncarnation = incarnationNumber;
    double costNanos =
        millis
            * MeshClock.NANOS_PER_MILLI
            * (1 + COLD_CODE_EXTRA_COST * Math.exp(-spentProcessorNanos / WARM_UP_NANOS));
    spentProcessorNanos += costNanos;
    long startNanos = Math.max(processorFreeAtNanos, clock.now());
    shedder.onSchedulingDelay(startNanos - clock.now(), clock.now());
    processorFreeAtNanos = startNanos + (long) (costNanos / CORE_SHARE);
    clock.at(
        processorFreeAtNanos,
        () -> {
          if (up && incarnationNumber == atIncarnation) {
            action.run();
          }
        });
  }

  void powerOff() {
    up = false;
    incarnationNumber++;
  }

  /** Restarts the node with a cold target and without any state of the earlier process. */
  void powerOn() {
    up = true;
    running = 0;
    probing = false;
    spentProcessorNanos = 0;
    processorFreeAtNanos = clock.now();
    resetState();
    admission.onCold(coldUntilNanos - clock.now(), clock.now());
  }

  void targetStarts() {
    coldUntilNanos = clock.now() + COLD_NANOS;
  }
}
