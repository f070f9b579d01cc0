package org.amaranthmoor.testkit.lab;

/**
 * One service of a deployment, as far as the lab needs it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name in reports
 * @param servers how many servers, spread over three availability zones
 * @param slots requests a server runs at once
 * @param zoneNanos one-way time between availability zones
 * @param clientNanos one-way time to clients
 * @param probesPerSecond budget of probes for each entry side
 */
record Site(
    String name, int servers, int slots, long zoneNanos, long clientNanos, double probesPerSecond) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  static Site lending() {
    return new Site("collective-lending", 6, 6, NANOS_PER_MILLI, 8 * NANOS_PER_MILLI, 2);
  }

  static Site booking() {
    return new Site("stratoslav-booking", 6, 6, 3 * NANOS_PER_MILLI / 2, NANOS_PER_MILLI, 20);
  }

  static Site telemetry() {
    return new Site("stratoslav-telemetry", 3, 6, 3 * NANOS_PER_MILLI / 2, NANOS_PER_MILLI, 20);
  }
}
