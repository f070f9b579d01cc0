package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.target.Admission.Decision;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Replays load patterns against an admission in simulated time. */
class AdmissionUnderLoadTests {

  private static final long MILLI = 1_000_000L;
  private static final RuleName PAGES = new RuleName("pages");
  private static final RuleName UPLOADS = new RuleName("uploads");

  private final Admission admission =
      new Admission(new Admission.Limits(6, 48, 5, 0.3), new SplittableRandom(1), 0);

  /** A request of a rule, with the maximum wait that its entry side sets. */
  private static class Request extends RecordingWaiter {
    private final RuleName rule;
    private final Priority priority;
    private final long arrivedNanos;
    private final long objectiveNanos;
    private final int maxWaitPercent;

    Request(RuleName rule, Priority priority, long now, long objective, int maxWaitPercent) {
      this.rule = rule;
      this.priority = priority;
      this.arrivedNanos = now;
      this.objectiveNanos = now + objective;
      this.maxWaitPercent = maxWaitPercent;
    }

    static Request page(long now) {
      return new Request(PAGES, Priority.BROWSE, now, 500 * MILLI, 90);
    }

    @Override
    public Priority priority() {
      return priority;
    }

    @Override
    public long deadlineNanos() {
      return arrivedNanos + 3 * (objectiveNanos - arrivedNanos);
    }

    @Override
    public RuleName rule() {
      return rule;
    }

    @Override
    public long objectiveNanos() {
      return objectiveNanos;
    }

    @Override
    public int maxWaitPercent() {
      return maxWaitPercent;
    }
  }

  private void learn(RuleName rule, long workMillis) {
    learn(rule, workMillis, 0);
  }

  private void learn(RuleName rule, long workMillis, long now) {
    for (int i = 0; i < 20; i++) {
      Request request = new Request(rule, Priority.NORMAL, now, 1_000 * MILLI, 0);
      assertInstanceOf(Decision.Admitted.class, admission.offer(request, now));
      admission.release(request, workMillis * MILLI, now);
    }
  }

  @Nested
  class WhenKindsOfWorkDiffer {

    @Test
    void aShortRequestIsQueuedWhereALongOneIsRefused() {
      learn(PAGES, 40);
      learn(UPLOADS, 400);
      for (int i = 0; i < 5; i++) {
        admission.offer(new Request(UPLOADS, Priority.NORMAL, 0, 1_000 * MILLI, 0), 0);
      }

      Request page = new Request(PAGES, Priority.NORMAL, 0, 500 * MILLI, 100);
      Request upload = new Request(UPLOADS, Priority.NORMAL, 0, 700 * MILLI, 100);

      assertInstanceOf(Decision.Queued.class, admission.offer(page, 0));
      Decision.Refused refused =
          assertInstanceOf(Decision.Refused.class, admission.offer(upload, 0));
      assertEquals(ResultCode.OVERLOADED, refused.code());
    }
  }

  @Nested
  class WhenARequestCannotStartSoon {

    {
      learn(PAGES, 160);
      for (int i = 0; i < 5; i++) {
        admission.offer(Request.page(0), 0);
      }
    }

    private ResultCode refused(long objectiveMillis, int maxWaitPercent) {
      Request page =
          new Request(PAGES, Priority.BROWSE, 0, objectiveMillis * MILLI, maxWaitPercent);
      return assertInstanceOf(Decision.Refused.class, admission.offer(page, 0)).code();
    }

    @Test
    void theRefusalTellsWhetherALongerWaitWouldHelp() {
      assertEquals(ResultCode.TOO_LATE_HERE, refused(500, 30));
      assertEquals(ResultCode.OVERLOADED, refused(300, 30));
    }
  }

  @Nested
  class WhenTheTargetIsInASlowPhase {

    private int probes;

    {
      learn(PAGES, 160);
      learn(UPLOADS, 20);
      admission.setSpeedProbe(() -> probes++);
    }

    @Test
    void workWaitsForThePhaseToEnd() {
      admission.onSlowdown(4, 0);
      Request page = Request.page(0);

      assertInstanceOf(Decision.Queued.class, admission.offer(page, 0));
      admission.onSlowdown(4, 50 * MILLI);
      assertEquals(List.of(), page.decisions);
      admission.onSlowdown(1, 100 * MILLI);

      assertInstanceOf(Decision.Admitted.class, page.decisions.getFirst());
    }

    @Test
    void workIsRefusedInTimeIfThePhaseDoesNotEnd() {
      admission.onSlowdown(4, 0);
      Request page = Request.page(0);
      admission.offer(page, 0);

      for (int at = 50; at <= 350; at += 50) {
        admission.onSlowdown(4, at * MILLI);
      }

      Decision.Refused refused =
          assertInstanceOf(Decision.Refused.class, page.decisions.getFirst());
      assertEquals(ResultCode.OVERLOADED, refused.code());
    }

    @Test
    void shortWorkStartsDuringASlowPhaseIfItIsStillInTime() {
      admission.onSlowdown(4, 0);

      Request small = new Request(UPLOADS, Priority.NORMAL, 0, 150 * MILLI, 100);

      assertInstanceOf(Decision.Admitted.class, admission.offer(small, 0));
    }

    @Test
    void theSpeedIsProbedIfTheLastReportIsOld() {
      admission.onSlowdown(4, 0);
      admission.onSlowdown(1, 10 * MILLI);

      Request page = Request.page(500 * MILLI);
      assertInstanceOf(Decision.Queued.class, admission.offer(page, 500 * MILLI));
      assertTrue(probes > 0, "the target is probed");
      admission.onSlowdown(1, 502 * MILLI);

      assertInstanceOf(Decision.Admitted.class, page.decisions.getFirst());
    }
  }

  /** As after a power failure: the target is cold, and nothing is known about its speed. */
  @Nested
  class WhenTheTargetHasJustStarted {

    private static final long COLD_LEFT_NANOS = 3_000 * MILLI;
    private int probes;

    {
      admission.setSpeedProbe(() -> probes++);
      admission.onCold(COLD_LEFT_NANOS, 0);
    }

    @Test
    void theSpeedIsProbedBeforeTheFirstRequestStarts() {
      Request page = Request.page(0);

      assertInstanceOf(Decision.Queued.class, admission.offer(page, 0));
      assertEquals(1, probes);
      admission.onSlowdown(2, 2 * MILLI);

      assertInstanceOf(Decision.Admitted.class, page.decisions.getFirst());
    }

    @Test
    void aColdTargetIsNotTakenForOneInASlowPhase() {
      admission.onSlowdown(2, 0);

      assertInstanceOf(Decision.Admitted.class, admission.offer(Request.page(0), 0));
    }

    @Test
    void aSlowPhaseDuringAColdStartIsWaitedOut() {
      admission.onSlowdown(2, 0);
      admission.onSlowdown(8, 60 * MILLI);
      Request page = Request.page(60 * MILLI);

      assertInstanceOf(Decision.Queued.class, admission.offer(page, 60 * MILLI));
      admission.onSlowdown(2, 110 * MILLI);

      assertInstanceOf(Decision.Admitted.class, page.decisions.getFirst());
    }

    @Test
    void maxWaitIsMeasuredFromTheSpeedOfTheColdTarget() {
      admission.onSlowdown(2, 0);
      Request page = new Request(PAGES, Priority.BROWSE, 0, 500 * MILLI, 30);

      assertInstanceOf(Decision.Admitted.class, admission.offer(page, 0));
    }

    @Test
    void workAtAnUnknownSpeedDoesNotChangeTheEstimate() {
      Request first = Request.page(0);
      admission.offer(first, 0);
      admission.onSpeedUnknown(MILLI);
      assertInstanceOf(Decision.Admitted.class, first.decisions.getFirst());

      admission.onSlowdown(8, 900 * MILLI);
      admission.release(first, 900 * MILLI, 900 * MILLI);
      admission.onSlowdown(2, 1_000 * MILLI);

      Request page = Request.page(1_000 * MILLI);
      assertInstanceOf(Decision.Admitted.class, admission.offer(page, 1_000 * MILLI));
    }

    @Test
    void anUnansweredSpeedProbeDelaysRequestsForABoundedTime() {
      Request page = Request.page(0);
      admission.offer(page, 0);

      admission.recheck(60 * MILLI);
      assertEquals(List.of(), page.decisions);
      admission.recheck(Admission.SPEED_WAIT_NANOS);

      assertInstanceOf(Decision.Admitted.class, page.decisions.getFirst());
    }

    @Test
    void aRefusalBasedOnAnOldReportProbesTheSpeed() {
      admission.onSlowdown(8, 0);
      assertInstanceOf(
          Decision.Refused.class, admission.offer(Request.page(80 * MILLI), 80 * MILLI));
      assertEquals(1, probes);

      admission.onSlowdown(2, 82 * MILLI);

      assertInstanceOf(
          Decision.Admitted.class, admission.offer(Request.page(90 * MILLI), 90 * MILLI));
    }

    @Test
    void reportsOfTheColdStartAreDroppedWhenItEnds() {
      admission.onSlowdown(2, 0);
      admission.onSlowdown(2, COLD_LEFT_NANOS - 100 * MILLI);
      learn(PAGES, 160, COLD_LEFT_NANOS - 100 * MILLI);

      Request tight = new Request(PAGES, Priority.BROWSE, COLD_LEFT_NANOS, 200 * MILLI, 100);
      admission.offer(tight, COLD_LEFT_NANOS);
      admission.onSlowdown(1, COLD_LEFT_NANOS + MILLI);

      assertInstanceOf(Decision.Admitted.class, tight.decisions.getFirst());
    }
  }

  @Nested
  class WhenRunningRequestsNeedOthers {

    private Request nested(long objectiveMillis) {
      return new Request(PAGES, Priority.CRITICAL, 0, objectiveMillis * MILLI, 0) {
        @Override
        public boolean nested() {
          return true;
        }
      };
    }

    @Test
    void aNestedRequestGetsASlotWhileUploadsUseTheConcurrencyLimit() {
      learn(PAGES, 15);
      learn(UPLOADS, 400);
      for (int i = 0; i < 20; i++) {
        admission.offer(new Request(UPLOADS, Priority.NORMAL, 0, 9_000 * MILLI, 0), 0);
      }

      Request first = nested(80);
      boolean taken = admission.offer(first, 0) instanceof Decision.Admitted;

      assertTrue(
          taken || first.decisions.contains(new Decision.Admitted()), "the nested request runs");
      assertEquals(6, admission.load(0).inFlight());
    }

    /** Work in slots beyond the concurrency limit slows down all work of the target. */
    @Test
    void aNestedRequestThatIsInTimeAfterAWaitDoesNotExceedTheConcurrencyLimit() {
      learn(PAGES, 15);
      for (int i = 0; i < 5; i++) {
        admission.offer(nested(80), 0);
      }

      Request next = nested(80);

      assertInstanceOf(Decision.Queued.class, admission.offer(next, 0));
      assertEquals(5, admission.load(0).inFlight());
    }

    @Test
    void aNestedRequestThatWouldBeLateAfterAWaitExceedsTheConcurrencyLimit() {
      learn(PAGES, 15);
      for (int i = 0; i < 5; i++) {
        admission.offer(nested(80), 0);
      }

      assertInstanceOf(Decision.Admitted.class, admission.offer(nested(25), 0));
    }

    @Test
    void aNestedRequestThatIsLateWaitsWhileAllSlotsAreTaken() {
      learn(PAGES, 15);
      for (int i = 0; i < 5; i++) {
        admission.offer(nested(80), 0);
      }
      admission.offer(nested(25), 0);
      assertEquals(6, admission.load(0).inFlight());

      assertInstanceOf(Decision.Queued.class, admission.offer(nested(25), 0));
    }
  }

  @Nested
  class WhenABurstExceedsTheTarget {

    private record End(long atNanos, Request request, long startNanos) {}

    // For four seconds, twice the load that five slots can handle at 160 ms per request.
    @Test
    void acceptedRequestsEndInTimeAndTheRestAreRefusedImmediately() {
      learn(PAGES, 160);
      SplittableRandom random = new SplittableRandom(7);
      PriorityQueue<End> ends =
          new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
      List<Request> waiting = new ArrayList<>();
      int arrived = 0;
      int inTime = 0;
      int refusedAtOnce = 0;
      long now = 0;
      while (now < 4_000 * MILLI) {
        now += (long) (-Math.log(1 - random.nextDouble()) * 16 * MILLI);
        while (!ends.isEmpty() && ends.peek().atNanos() <= now) {
          End end = ends.remove();
          inTime += end.atNanos() <= end.request().objectiveNanos() ? 1 : 0;
          admission.release(end.request(), end.atNanos() - end.startNanos(), end.atNanos());
          startAdmitted(waiting, ends, end.atNanos());
        }
        Request page = Request.page(now);
        arrived++;
        switch (admission.offer(page, now)) {
          case Decision.Admitted admitted -> ends.add(new End(now + 160 * MILLI, page, now));
          case Decision.Queued queued -> waiting.add(page);
          case Decision.Refused refused -> refusedAtOnce++;
        }
      }

      double possibleInTime = 4_000 / 160.0 * 5;
      assertTrue(
          inTime >= 0.9 * possibleInTime,
          "in time " + inTime + " of " + possibleInTime + " possible");
      assertTrue(
          arrived - refusedAtOnce <= 1.1 * possibleInTime + 10,
          "accepted more than can end in time");
    }

    private static void startAdmitted(
        List<Request> waiting, PriorityQueue<End> ends, long nowNanos) {
      for (Request request : List.copyOf(waiting)) {
        if (!request.decisions.isEmpty()) {
          waiting.remove(request);
          if (request.decisions.getFirst() instanceof Decision.Admitted) {
            ends.add(new End(nowNanos + 160 * MILLI, request, nowNanos));
          }
        }
      }
    }

    @Test
    void lateWorkGetsAFreeSlotWhereNothingCanBeInTime() {
      learn(PAGES, 700);
      for (int i = 0; i < 4; i++) {
        admission.offer(new Request(PAGES, Priority.BROWSE, 0, 500 * MILLI, 0), 0);
      }
      admission.offer(Request.page(0), 0);

      Request late = new Request(PAGES, Priority.BROWSE, 0, 500 * MILLI, 0);

      assertEquals(new Decision.Admitted(), admission.offer(late, 0));
    }

    @Test
    void lateWorkGetsNoSlotWhileWorkThatCouldBeInTimeFindsNone() {
      learn(PAGES, 160);
      for (int i = 0; i < 5; i++) {
        admission.offer(Request.page(0), 0);
      }
      admission.offer(new Request(PAGES, Priority.BROWSE, 0, 200 * MILLI, 30), 0);
      Request first = new Request(PAGES, Priority.BROWSE, 100 * MILLI, 50 * MILLI, 0);

      Decision.Refused refused =
          assertInstanceOf(Decision.Refused.class, admission.offer(first, 100 * MILLI));

      assertEquals(ResultCode.OVERLOADED, refused.code());
    }

    @Test
    void aRequestThatIsAlreadyLateIsRefusedInsteadOfQueued() {
      learn(PAGES, 160);
      for (int i = 0; i < 5; i++) {
        admission.offer(Request.page(0), 0);
      }
      Request late = new Request(PAGES, Priority.BROWSE, 0, 100 * MILLI, 0);

      Decision.Refused refused = assertInstanceOf(Decision.Refused.class, admission.offer(late, 0));

      assertEquals(ResultCode.OVERLOADED, refused.code());
    }
  }

  @Nested
  class WhenRefusedCallersRetry {

    private static final long OBJECTIVE_NANOS = 500 * MILLI;
    private static final long RETRY_PAUSE_NANOS = 120 * MILLI;
    private static final long WORK_NANOS = 160 * MILLI;

    /** An attempt of a caller, with the time of the caller's first attempt. */
    private record Attempt(long firstNanos, boolean isRetry) {}

    private record Event(long atNanos, long number, Runnable action) {}

    private static final class Totals {
      private int inTime;
    }

    // A burst of twice the target's capacity, in which each refused caller retries once. A retry
    // states the remaining time of the first attempt's objective, or the full time again.
    private Totals replay(boolean restOfObjective, long pauseNanos) {
      Admission target =
          new Admission(new Admission.Limits(6, 48, 5, 0.3), new SplittableRandom(1), 0);
      SplittableRandom random = new SplittableRandom(11);
      PriorityQueue<Event> events =
          new PriorityQueue<>(
              Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
      Totals totals = new Totals();
      Replay replay = new Replay(target, events, totals, restOfObjective, pauseNanos);
      long at = 0;
      while (at < 6_000 * MILLI) {
        at += (long) (-Math.log(1 - random.nextDouble()) * 16 * MILLI);
        replay.arrives(new Attempt(at, false), at);
      }
      while (!events.isEmpty()) {
        events.remove().action().run();
      }
      return totals;
    }

    private static final class Replay {
      private final Admission target;
      private final PriorityQueue<Event> events;
      private final Totals totals;
      private final boolean restOfObjective;
      private final long pauseNanos;
      private long nowNanos;
      private long nextEventNumber;

      Replay(
          Admission target,
          PriorityQueue<Event> events,
          Totals totals,
          boolean restOfObjective,
          long pauseNanos) {
        this.target = target;
        this.events = events;
        this.totals = totals;
        this.restOfObjective = restOfObjective;
        this.pauseNanos = pauseNanos;
      }

      private void at(long nanos, Runnable action) {
        events.add(
            new Event(
                nanos,
                nextEventNumber++,
                () -> {
                  nowNanos = nanos;
                  action.run();
                }));
      }

      void arrives(Attempt attempt, long atNanos) {
        at(atNanos, () -> offer(attempt));
      }

      private void offer(Attempt attempt) {
        long objective =
            restOfObjective ? attempt.firstNanos() + OBJECTIVE_NANOS : nowNanos + OBJECTIVE_NANOS;
        boolean late = nowNanos + WORK_NANOS > objective;
        Request request =
            new Request(PAGES, Priority.BROWSE, nowNanos, objective - nowNanos, late ? 0 : 90) {
              @Override
              public void admitted() {
                start(attempt, this);
              }

              @Override
              public void refused(Decision.Refused refusal) {
                retryOnce(attempt);
              }
            };
        switch (target.offer(request, nowNanos)) {
          case Decision.Admitted admitted -> start(attempt, request);
          case Decision.Queued queued -> {}
          case Decision.Refused refused -> retryOnce(attempt);
        }
      }

      private void start(Attempt attempt, Request request) {
        at(
            nowNanos + WORK_NANOS,
            () -> {
              totals.inTime += nowNanos <= attempt.firstNanos() + OBJECTIVE_NANOS ? 1 : 0;
              target.release(request, WORK_NANOS, nowNanos);
            });
      }

      private void retryOnce(Attempt attempt) {
        if (!attempt.isRetry()) {
          arrives(new Attempt(attempt.firstNanos(), true), nowNanos + pauseNanos);
        }
      }
    }

    @Test
    void lateRetriesTakeNoSlotFromRequestsThatCanBeInTime() {
      Totals totals = replay(true, 420 * MILLI);

      double possibleInTime = 6_000 * MILLI / (double) WORK_NANOS * 5;
      assertTrue(
          totals.inTime >= 0.9 * possibleInTime,
          "in time " + totals.inTime + " of " + possibleInTime + " possible");
    }

    @Test
    void retriesGoFirstWhileTheyCanStillBeInTime() {
      Totals remainingObjectives = replay(true, RETRY_PAUSE_NANOS);
      Totals fullObjectives = replay(false, RETRY_PAUSE_NANOS);

      assertTrue(
          remainingObjectives.inTime > fullObjectives.inTime,
          "in time "
              + remainingObjectives.inTime
              + ", with full objectives "
              + fullObjectives.inTime);
      double possibleInTime = 6_000 * MILLI / (double) WORK_NANOS * 5;
      assertTrue(
          remainingObjectives.inTime >= 0.9 * possibleInTime,
          "in time " + remainingObjectives.inTime + " of " + possibleInTime + " possible");
    }
  }

  /** A burst at a target that states a rate far below the capacity of its slots. */
  @Nested
  class WhenTheTargetStatesARate {

    private static final double REQUESTS_PER_SECOND = 3;

    private Request request(Priority priority, long now) {
      return new Request(PAGES, priority, now, 500 * MILLI, 90);
    }

    private Request nested(long now) {
      return new Request(PAGES, Priority.BROWSE, now, 500 * MILLI, 90) {
        @Override
        public boolean nested() {
          return true;
        }
      };
    }

    private void stateRate(double perSecond) {
      learn(PAGES, 40);
      admission.onLimit(new TargetNotice.Limit.Rate(perSecond), 0, 0);
    }

    @Test
    void startsStayWithinTheRateForRequestsOfAllKinds() {
      stateRate(REQUESTS_PER_SECOND);
      SplittableRandom random = new SplittableRandom(7);
      List<Request> open = new ArrayList<>();
      int started = 0;
      for (long now = 0; now < 8_000 * MILLI; now += 10 * MILLI) {
        Request request = random.nextInt(4) == 0 ? nested(now) : request(Priority.NORMAL, now);
        Decision decision = admission.offer(request, now);
        open.add(request);
        if (decision instanceof Decision.Admitted) {
          request.decisions.add(decision);
        }
        admission.recheck(now);
        for (Request other : List.copyOf(open)) {
          if (other.decisions.contains(new Decision.Admitted())) {
            started++;
            open.remove(other);
            admission.release(other, 40 * MILLI, now);
          }
        }
      }

      assertTrue(started <= 8 * REQUESTS_PER_SECOND + 1, started + " started");
      assertTrue(started >= 8 * REQUESTS_PER_SECOND - 2, started + " started");
    }

    @Test
    void theNextStartGoesToANestedRequest() {
      stateRate(REQUESTS_PER_SECOND);
      Request urgent = request(Priority.CRITICAL, 0);
      Request nested = nested(0);
      assertInstanceOf(Decision.Queued.class, admission.offer(urgent, 0));
      assertInstanceOf(Decision.Queued.class, admission.offer(nested, 0));

      admission.recheck(334 * MILLI);

      assertEquals(List.of(new Decision.Admitted()), nested.decisions);
    }

    @Test
    void aRequestWithoutATimelyStartIsRefusedWithTheTimeOfTheNextStart() {
      stateRate(0.5);

      assertEquals(
          new Decision.Refused(ResultCode.TARGET_LIMITED, 2_001),
          admission.offer(request(Priority.NORMAL, 0), 0));
    }

    @Test
    void theLoadReportsWhenTheNextRequestMayStart() {
      stateRate(2);

      assertEquals(500 * MILLI, admission.load(0).startWaitNanos());
      assertEquals(0, admission.load(500 * MILLI).startWaitNanos());
    }

    @Test
    void queuedRequestsAreAdmittedWhenTheRateEnds() {
      stateRate(REQUESTS_PER_SECOND);
      Request waiting = request(Priority.NORMAL, 0);
      assertInstanceOf(Decision.Queued.class, admission.offer(waiting, 0));

      admission.onLimit(new TargetNotice.Limit.Unstated(), 50 * MILLI, 100 * MILLI);

      assertEquals(List.of(new Decision.Admitted()), waiting.decisions);
    }

    @Test
    void anUnreadableRateChangesNothing() {
      stateRate(2);

      admission.onLimit(new TargetNotice.Limit.Unreadable(), 50 * MILLI, 100 * MILLI);

      assertEquals(400 * MILLI, admission.load(100 * MILLI).startWaitNanos());
    }

    @Test
    void theSpeedIsNotProbed() {
      List<String> probes = new ArrayList<>();
      stateRate(2);
      admission.setSpeedProbe(() -> probes.add("probe"));

      admission.offer(new Request(PAGES, Priority.NORMAL, 0, 90 * MILLI, 90), 600 * MILLI);

      assertEquals(List.of(), probes);
    }
  }

  /**
   * A burst of short requests at a target that has started during traffic, whose slots would take
   * many times what it tolerates while it is cold. Connecting to it takes up to 400 ms.
   */
  @Nested
  class WhenTheTargetIsCold {

    private static final int MAX_PER_SECOND = 18;
    private static final long SECOND = 1_000 * MILLI;
    private static final long START = 60 * SECOND;

    private final List<Long> handOvers = new ArrayList<>();
    private final List<String> probes = new ArrayList<>();
    private long clockNanos;

    @BeforeEach
    void setColdStart() {
      admission.setColdStart(new ColdStart(MAX_PER_SECOND, 3 * SECOND));
      learn(PAGES, 20);
    }

    private record Pending(Request request, long handOverNanos) {}

    // Offers a request each 5 ms from the start on; each takes 20 ms at the target.
    private void replay(long endNanos) {
      SplittableRandom random = new SplittableRandom(11);
      List<Request> open = new ArrayList<>();
      PriorityQueue<Pending> pending =
          new PriorityQueue<>(Comparator.comparingLong(Pending::handOverNanos));
      for (long now = START; now < endNanos; now += 5 * MILLI) {
        clockNanos = now;
        while (!pending.isEmpty() && pending.peek().handOverNanos() <= now) {
          Request request = pending.remove().request();
          admission.onHandOver(request, now);
          handOvers.add(now);
          admission.release(request, 20 * MILLI, now);
        }
        Request request = new Request(PAGES, Priority.NORMAL, now, 500 * MILLI, 90);
        if (admission.offer(request, now) instanceof Decision.Admitted admitted) {
          request.decisions.add(admitted);
        }
        open.add(request);
        admission.recheck(now);
        for (Request other : List.copyOf(open)) {
          if (other.decisions.contains(new Decision.Admitted())) {
            open.remove(other);
            pending.add(new Pending(other, now + random.nextLong(400) * MILLI));
          }
        }
      }
    }

    private long mostInASecond(long fromNanos, long untilNanos) {
      return handOvers.stream()
          .filter(begin -> begin >= fromNanos && begin < untilNanos)
          .mapToLong(
              begin ->
                  handOvers.stream()
                      .filter(at -> at >= begin && at - begin <= SECOND && at < untilNanos)
                      .count())
          .max()
          .orElse(0);
    }

    @Test
    void noSecondHasMoreHandOversThanAColdTargetTakes() {
      admission.onCold(3 * SECOND, START);

      replay(START + 6 * SECOND);

      long coldEnd = START + 3 * SECOND;
      assertTrue(
          mostInASecond(START, coldEnd) <= MAX_PER_SECOND,
          mostInASecond(START, coldEnd) + " in a second while cold");
      long started = handOvers.stream().filter(at -> at < coldEnd).count();
      assertTrue(started >= 2 * MAX_PER_SECOND, started + " in three seconds while cold");
    }

    @Test
    void aWarmTargetGetsMoreOnlyWithCurrentReportsThatItIsWarm() {
      admission.setSpeedProbe(() -> probes.add("probe"));

      replay(START + 3 * SECOND);

      assertTrue(mostInASecond(START, START + 3 * SECOND) <= MAX_PER_SECOND);
      assertTrue(!probes.isEmpty());
    }

    @Test
    void aWarmTargetThatReportsSoGetsItsUsualLoad() {
      admission.setSpeedProbe(
          () -> {
            admission.onColdReport(0, clockNanos);
            admission.onSlowdown(1, clockNanos);
          });

      replay(START + 3 * SECOND);

      assertTrue(mostInASecond(START, START + 3 * SECOND) > MAX_PER_SECOND);
    }

    @Test
    void aTargetThatIsFoundToBeColdAgainGetsNoMoreThanItTakes() {
      admission.setSpeedProbe(() -> admission.onColdReport(2 * SECOND, clockNanos));

      replay(START + 3 * SECOND);

      assertTrue(mostInASecond(START, START + 2 * SECOND) <= MAX_PER_SECOND);
    }

    @Test
    void aDelayedReportDoesNotEndAColdStartEarlier() {
      admission.onCold(3 * SECOND, START);
      admission.onCold(0, START + SECOND);
      admission.onCold(SECOND, START + SECOND);

      replay(START + 3 * SECOND);

      assertTrue(mostInASecond(START, START + 3 * SECOND) <= MAX_PER_SECOND);
    }

    /** What an earlier process sent in the second before this one began is not known. */
    @Test
    void nothingStartsAtAColdTargetInTheFirstSecondOfTheProcess() {
      Admission restarted =
          new Admission(new Admission.Limits(6, 48, 5, 0.3), new SplittableRandom(1), START);
      restarted.setColdStart(new ColdStart(MAX_PER_SECOND, 3 * SECOND));
      restarted.onCold(3 * SECOND, START);
      Request early = new Request(PAGES, Priority.NORMAL, START, 400 * MILLI, 90);
      Request later = new Request(PAGES, Priority.NORMAL, START + SECOND, 400 * MILLI, 90);

      assertInstanceOf(Decision.Refused.class, restarted.offer(early, START));
      assertInstanceOf(Decision.Admitted.class, restarted.offer(later, START + SECOND));
    }

    @Test
    void aRefusedRequestIsToldWhenTheNextOneMayStart() {
      admission.setColdStart(new ColdStart(0, 3 * SECOND));
      admission.onCold(2 * SECOND, START);

      assertEquals(
          new Decision.Refused(ResultCode.TARGET_LIMITED, 1_001),
          admission.offer(new Request(PAGES, Priority.NORMAL, START, 500 * MILLI, 90), START));
    }

    @Test
    void aServiceWithoutALimitIsNotAffected() {
      admission.setColdStart(ColdStart.UNLIMITED);
      admission.onCold(3 * SECOND, START);

      replay(START + SECOND);

      assertTrue(mostInASecond(START, START + SECOND) > MAX_PER_SECOND);
    }
  }
}
