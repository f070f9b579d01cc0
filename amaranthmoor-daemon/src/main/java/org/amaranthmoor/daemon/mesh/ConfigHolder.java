package org.amaranthmoor.daemon.mesh;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the configuration in force.
 *
 * <p>Invariant: its version only rises. Safe for use by several threads; lock-free.
 */
final class ConfigHolder {

  private final AtomicReference<Optional<RoutingConfig>> current =
      new AtomicReference<>(Optional.empty());

  /** {@return the configuration in force, or empty before the first} */
  Optional<RoutingConfig> current() {
    return current.get();
  }

  /** {@return the version in force, or -1 before the first} */
  long version() {
    return current.get().map(RoutingConfig::version).orElse(-1L);
  }

  /** Puts a configuration in force unless a version as new is, and returns whether it did. */
  boolean advance(RoutingConfig config) {
    while (true) {
      Optional<RoutingConfig> before = current.get();
      if (before.isPresent() && before.get().version() >= config.version()) {
        return false;
      }
      if (current.compareAndSet(before, Optional.of(config))) {
        return true;
      }
    }
  }
}
