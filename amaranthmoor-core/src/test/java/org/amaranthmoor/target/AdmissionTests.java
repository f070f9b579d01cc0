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
  private static final long FAR_DEADLINE_NANOS = 60_000 * MILLI;

  private final Admission admission = new Admission(2, 3, new SplittableRandom(1), 0);
  private final List<Request> running = new ArrayList<>();

  /** A request with a priority and a deadline. */
  private static final class Request extends RecordingWaiter {
    private final Priority priority;
    private final long deadlineNanos;

    private Request(Priority priority, long deadlineNanos) {
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
  }

  private static Request waiter(Priority priority) {
    return new Request(priority, FAR_DEADLINE_NANOS);
  }

  private Request queued(Priority priority) {
    Request waiter = waiter(priority);
    assertInstanceOf(Decision.Queued.class, admission.offer(waiter, 0));
    return waiter;
  }

  private void fillSlots() {
    for (int i = 0; i < 2; i++) {
      Request waiter = waiter(Priority.NORMAL);
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
      Request browse = queued(Priority.BROWSE);
      Request first = queued(Priority.CRITICAL);
      Request second = queued(Priority.CRITICAL);

      admission.release(running.removeFirst(), MILLI, MILLI);
      admission.release(running.removeFirst(), MILLI, MILLI);

      assertEquals(1, first.decisions.size());
      assertEquals(1, second.decisions.size());
      assertEquals(0, browse.decisions.size());
    }

    @Test
    void refusesImmediatelyARequestThatCannotEndBeforeItsDeadline() {
      Decision decision = admission.offer(new Request(Priority.CRITICAL, MILLI), 0);

      Decision.Refused refused = assertInstanceOf(Decision.Refused.class, decision);
      assertEquals(ResultCode.OVERLOADED, refused.code());
      assertTrue(refused.retryAfterMillis() > 0, "retry-after is stated");
    }

    @Test
    void aFullQueueDisplacesTheNewestBrowseRequestForACriticalOne() {
      queued(Priority.BROWSE);
      queued(Priority.BROWSE);
      Request newest = queued(Priority.BROWSE);

      queued(Priority.CRITICAL);

      Decision.Refused refused =
          assertInstanceOf(Decision.Refused.class, newest.decisions.getFirst());
      assertEquals(ResultCode.OVERLOADED, refused.code());
    }

    @Test
    void aFullQueueRefusesABrowseRequest() {
      queued(Priority.CRITICAL);
      queued(Priority.CRITICAL);
      queued(Priority.CRITICAL);

      assertInstanceOf(Decision.Refused.class, admission.offer(waiter(Priority.BROWSE), 0));
    }

    @Test
    void aWaiterWhoseDeadlinePassedIsRefusedNotAdmitted() {
      Request late = new Request(Priority.NORMAL, 50 * MILLI);
      assertInstanceOf(Decision.Queued.class, admission.offer(late, 0));

      admission.release(running.removeFirst(), MILLI, 60 * MILLI);

      Decision.Refused refused =
          assertInstanceOf(Decision.Refused.class, late.decisions.getFirst());
      assertEquals(ResultCode.DEADLINE_BEFORE_START, refused.code());
      assertEquals(1, admission.load(0).inFlight());
    }

    @Test
    void aWithdrawnWaiterReceivesNoDecision() {
      Request waiter = queued(Priority.NORMAL);

      assertTrue(admission.withdraw(waiter));
      admission.release(running.removeFirst(), MILLI, MILLI);

      assertEquals(List.of(), waiter.decisions);
    }
  }

  @Nested
  class WhenDraining {

    @Test
    void refusesWaitersAndNewRequests() {
      fillSlots();
      Request waiting = queued(Priority.CRITICAL);

      admission.drain(0);

      assertEquals(
          ResultCode.DRAINING,
          assertInstanceOf(Decision.Refused.class, waiting.decisions.getFirst()).code());
      assertEquals(
          ResultCode.DRAINING,
          assertInstanceOf(Decision.Refused.class, admission.offer(waiter(Priority.CRITICAL), 0))
              .code());
      assertEquals(2, admission.load(0).inFlight());
      assertTrue(admission.load(0).draining());
    }
  }
}
