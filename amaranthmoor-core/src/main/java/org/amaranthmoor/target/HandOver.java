package org.amaranthmoor.target;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The single point at which one request is committed to its target.
 *
 * <p>Invariant: exactly one of {@link #commit} and {@link #fence} ever succeeds, whichever comes
 * first. A fenced request is never handed over; a committed one can no longer be called not run.
 * Safe for use by several threads; lock-free.
 */
public final class HandOver {

  /** What has become of the request. */
  public enum State {
    /** Not yet decided. */
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
   * Commits the request to the target; the first byte may be written only after true is returned.
   *
   * @return whether the request may be handed over
   */
  public boolean commit() {
    return state.compareAndSet(State.OPEN, State.HANDED_OVER);
  }

  /**
   * Fences the request.
   *
   * @return whether the request is fenced, now or before
   */
  public boolean fence() {
    return state.compareAndSet(State.OPEN, State.FENCED) || state.get() == State.FENCED;
  }

  /** {@return the state} */
  public State state() {
    return state.get();
  }
}
