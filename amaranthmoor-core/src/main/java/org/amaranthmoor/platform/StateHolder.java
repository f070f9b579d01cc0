package org.amaranthmoor.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the newest state at a node.
 *
 * <p>Invariant: the offset only rises. Readers get one immutable value; listeners are told of each
 * change in order. Safe for use by several threads.
 */
public final class StateHolder {

  /** Is told when the state changes. */
  public interface Listener {
    /**
     * Takes in a new state.
     *
     * @param state the state
     * @param contiguous whether it follows the last one by folding every record between them
     */
    void onState(ClusterState state, boolean contiguous);
  }

  private final AtomicReference<ClusterState> current = new AtomicReference<>(ClusterState.empty());
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();

  /** Creates a holder of the state before the first record. */
  public StateHolder() {}

  /**
   * Adds a listener, which is told of later changes.
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
   * Offers a state.
   *
   * @param state the state
   * @param contiguous whether it was folded from the current one without a gap
   * @return whether it was newer and is now the current one
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
