package org.amaranthmoor.target;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The point at which a request is either committed to its target or fenced.
 *
 * <p>Invariant: exactly one of {@link #commit} and {@link #fence} ever succeeds, whichever comes
 * first. A fenced request is never handed over; a committed one must not be reported as not run.
 * Safe for use by several threads; lock-free.
 */
public final class HandOver {

  /** State of a request's hand-over. */
  public enum State {
    /** Neither handed over nor fenced. */
    OPEN,
    /** Handed to the target. */
    HANDED_OVER,
    /** Will never be handed to the target. */
    FENCED
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

  /** Creates an open hand-over. */
  public HandOver() {}

  /**
   * Commits the request to the target. The first byte may be written to the target only after this
   * method has returned true.
   *
   * @return whether the request may be handed over
   */
  public boolean commit() {
    return state.compareAndSet(State.OPEN, State.HANDED_OVER);
  }

  /**
   * Fences the request unless it was committed.
   *
   * @return whether the request is fenced, by this call or an earlier one
   */
  public boolean fence() {
    return state.compareAndSet(State.OPEN, State.FENCED) || state.get() == State.FENCED;
  }

  /** {@return the state} */
  public State state() {
    return state.get();
  }
}
