package org.amaranthmoor.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the newest cluster state that a node knows.
 *
 * <p>Invariant: the offset never decreases. Readers get an immutable state; listeners are called
 * for each change, in order. Safe for use by several threads.
 */
public final class StateHolder {

  /** Receives state changes. */
  public interface Listener {
    /**
     * Called after the state changed.
     *
     * @param state the new state
     * @param contiguous whether every record between the previous and the new state was applied, so
     *     that none was skipped by loading a checkpoint
     */
    void onState(ClusterState state, boolean contiguous);
  }

  private final AtomicReference<ClusterState> current = new AtomicReference<>(ClusterState.empty());
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();

  /** Creates a holder of the empty state. */
  public StateHolder() {}

  /**
   * Adds a listener for later changes.
   *
   * @param listener the listener
   */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** {@return the newest state} */
  public ClusterState current() {
    return current.get();
  }

  /**
   * Replaces the current state if the given one is newer.
   *
   * @param state the state
   * @param contiguous whether it was derived from the current one by applying every record between
   *     them
   * @return whether the state was newer and is now the current one
   */
  public synchronized boolean advance(ClusterState state, boolean contiguous) {
    if (state.offset() <= current.get().offset()) {
      return false;
    }
    current.set(state);
    listeners.forEach(listener -> listener.onState(state, contiguous));
    return true;
  }
}
