package org.amaranthmoor.daemon.mesh;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the configuration in force.
 *
 * <p>Invariant: the version in force never falls. Safe for use by several threads; all methods
 * except {@link #awaitFirst} are lock-free.
 */
final class ConfigHolder {

  private final AtomicReference<Optional<RoutingConfig>> current =
      new AtomicReference<>(Optional.empty());
  private final CountDownLatch first = new CountDownLatch(1);

  /** {@return the configuration in force, or empty before the first} */
  Optional<RoutingConfig> current() {
    return current.get();
  }

  /** {@return the version in force, or -1 before the first} */
  long version() {
    return current.get().map(RoutingConfig::version).orElse(-1L);
  }

  /**
   * Waits for the first configuration after the start of the process.
   *
   * @param timeoutMillis longest wait, in milliseconds
   * @return whether a configuration is in force
   */
  boolean awaitFirst(long timeoutMillis) {
    try {
      return first.await(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return current().isPresent();
    }
  }

  /**
   * Puts a configuration in force, unless the version in force is the same or newer.
   *
   * @param config the configuration
   * @return whether it was put in force
   */
  boolean advance(RoutingConfig config) {
    while (true) {
      Optional<RoutingConfig> before = current.get();
      if (before.isPresent() && before.get().version() >= config.version()) {
        return false;
      }
      if (current.compareAndSet(before, Optional.of(config))) {
        first.countDown();
        return true;
      }
    }
  }
}
