package org.amaranthmoor.daemon.log;

/**
 * Receives the failures that a node survives, from whichever part of it caught them.
 *
 * <p>Implementations must not throw, block or create objects, and are called by several threads.
 */
@FunctionalInterface
public interface ErrorListener {

  /** Ignores all failures. */
  ErrorListener NONE = error -> {};

  /**
   * Called for a failure that was caught.
   *
   * @param error the failure
   */
  void onError(Throwable error);
}
