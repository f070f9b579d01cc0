package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.target.Admission.Decision;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionTests {

  private static final long MILLI = 1_000_000L;
  private static final long FAR = 60_000 * MILLI;

  private final Admission admission = new Admission(2, 3, new SplittableRandom(1), 0);
  private final List<RecordingWaiter> running = new ArrayList<>();

  /** Records what it is told. */
  private static final class RecordingWaiter implements Admission.Waiter {
    private final Priority priority;
    private final long deadlineNanos;
    private final List<Decision> told = new ArrayList<>();

    private RecordingWaiter(Priority priority, long deadlineNanos) {
      this.priority = priority;
      this.deadlineNanos = deadlineNanos;
    }

    @Override
    public Priority priority() {
      return priority;
    }

    @Override
    public long deadlineNanos() {
      return deadlineNanos;
    }

    @Override
    public void admitted() {
      told.add(new Decision.Admitted());
    }

    @Override
    public void refused(Decision.Refused refusal) {
      told.add(refusal);
    }
  }

  private static RecordingWaiter waiter(Priority priority) {
    return new RecordingWaiter(priority, FAR);
  }

  private RecordingWaiter queued(Priority priority) {
    RecordingWaiter waiter = waiter(priority);
    assertInstanceOf(Decision.Queued.class, admission.offer(waiter, 0));
    return waiter;
  }

  private void fillSlots() {
    for (int i = 0; i < 2; i++) {
      RecordingWaiter waiter = waiter(Priority.NORMAL);
      assertInstanceOf(Decision.Admitted.class, admission.offer(waiter, 0));
      running.add(waiter);
    }
  }

  @Test
  void refusesSlotsBelowOne() {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class, () -> new Admission(0, 3, new SplittableRandom(1), 0));

    assertEquals(
        "slots must be at least 1 and queueLimit at least 0, but were: 0, 3", e.getMessage());
  }

  @Nested
  class WhenAllSlotsAreTaken {

    {
      fillSlots();
    }

    @Test
    void admitsWaitersByPriorityAndThenInOrder() {
      RecordingWaiter browse = queued(Priority.BROWSE);
      RecordingWaiter first = queued(Priority.CRITICAL);
      RecordingWaiter second = queued(Priority.CRITICAL);

      admission.release(running.removeFirst(), MILLI, MILLI);
      admission.release(running.removeFirst(), MILLI, MILLI);

      assertEquals(1, first.told.size());
      assertEquals(1, second.told.size());
      assertEquals(0, browse.told.size());
    }

    @Test
    void refusesAtOnceWhatCannotEndBeforeItsDeadline() {
      Decision decision = admission.offer(new RecordingWaiter(Priority.CRITICAL, MILLI), 0);

      Decision.Refused refused = assertInstanceOf(Decision.Refused.class, decision);
      assertEquals(ResultCode.OVERLOADED, refused.code());
      assertTrue(refused.retryAfterMillis() > 0, "retry-after is stated");
    }

    @Test
    void aFullQueueGivesTheNewestBrowserUpForACriticalRequest() {
      queued(Priority.BROWSE);
      queued(Priority.BROWSE);
      RecordingWaiter newest = queued(Priority.BROWSE);

      queued(Priority.CRITICAL);

      Decision.Refused refused = assertInstanceOf(Decision.Refused.class, newest.told.getFirst());
      assertEquals(ResultCode.OVERLOADED, refused.code());
    }

    @Test
    void aFullQueueRefusesABrowser() {
      queued(Priority.CRITICAL);
      queued(Priority.CRITICAL);
      queued(Priority.CRITICAL);

      assertInstanceOf(Decision.Refused.class, admission.offer(waiter(Priority.BROWSE), 0));
    }

    @Test
    void aWaiterWhoseDeadlinePassedIsRefusedNotAdmitted() {
      RecordingWaiter late = new RecordingWaiter(Priority.NORMAL, 50 * MILLI);
      assertInstanceOf(Decision.Queued.class, admission.offer(late, 0));

      admission.release(running.removeFirst(), MILLI, 60 * MILLI);

      Decision.Refused refused = assertInstanceOf(Decision.Refused.class, late.told.getFirst());
      assertEquals(ResultCode.DEADLINE_BEFORE_START, refused.code());
      assertEquals(1, admission.load().inFlight());
    }

    @Test
    void aWithdrawnWaiterIsToldNothing() {
      RecordingWaiter waiter = queued(Priority.NORMAL);

      assertTrue(admission.withdraw(waiter));
      admission.release(running.removeFirst(), MILLI, MILLI);

      assertEquals(List.of(), waiter.told);
    }
  }

  @Nested
  class WhenDraining {

    @Test
    void refusesWaitersAndNewRequests() {
      fillSlots();
      RecordingWaiter waiting = queued(Priority.CRITICAL);

      admission.drain(0);

      assertEquals(
          ResultCode.DRAINING,
          assertInstanceOf(Decision.Refused.class, waiting.told.getFirst()).code());
      assertEquals(
          ResultCode.DRAINING,
          assertInstanceOf(Decision.Refused.class, admission.offer(waiter(Priority.CRITICAL), 0))
              .code());
      assertEquals(2, admission.load().inFlight());
      assertTrue(admission.load().draining());
    }
  }
}
