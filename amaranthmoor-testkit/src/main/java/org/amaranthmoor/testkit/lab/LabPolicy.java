package org.amaranthmoor.testkit.lab;

import java.util.List;
import org.amaranthmoor.balance.PickPolicy;

/**
 * A policy that the lab compares.
 *
 * <p>Immutable and safe for use by several threads.
 */
sealed interface LabPolicy {

  /** {@return the name in reports} */
  String name();

  /** A policy of the product or a baseline. */
  record Real(String name, PickPolicy policy) implements LabPolicy {}

  /** Knows the exact occupancy and speed of every server at every moment. */
  record Oracle(String name) implements LabPolicy {}

  static LabPolicy ours(Site site) {
    return new Real("hot-cold", new PickPolicy.LeastExpectedLatency(6, site.zoneNanos()));
  }

  static List<LabPolicy> all(Site site) {
    return List.of(
        new Oracle("oracle"),
        ours(site),
        new Real("two-choices", new PickPolicy.PowerOfTwoChoices()),
        new Real("least-in-flight", new PickPolicy.LeastInFlight()),
        new Real("round-robin", new PickPolicy.RoundRobin()),
        new Real("random", new PickPolicy.Random()));
  }
}
