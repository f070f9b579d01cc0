package org.amaranthmoor.testkit.lab;

import java.util.List;
import org.amaranthmoor.balance.PickPolicy;

/**
 * A balancing policy that the lab compares.
 *
 * <p>Immutable and safe for use by several threads.
 */
sealed interface LabPolicy {

  /** {@return the name in reports} */
  String name();

  /** A policy of the production picker: the one in use or a baseline. */
  record WithPicker(String name, PickPolicy policy) implements LabPolicy {}

  /** Chooses the fastest server with exact knowledge of the occupancy and speed of all servers. */
  record Oracle(String name) implements LabPolicy {}

  static LabPolicy productPolicy(Site site) {
    return new WithPicker("hot-cold", new PickPolicy.LeastExpectedLatency(6, site.zoneNanos()));
  }

  static List<LabPolicy> all(Site site) {
    return List.of(
        new Oracle("oracle"),
        productPolicy(site),
        new WithPicker("two-choices", new PickPolicy.PowerOfTwoChoices()),
        new WithPicker("least-in-flight", new PickPolicy.LeastInFlight()),
        new WithPicker("round-robin", new PickPolicy.RoundRobin()),
        new WithPicker("random", new PickPolicy.Random()));
  }
}
