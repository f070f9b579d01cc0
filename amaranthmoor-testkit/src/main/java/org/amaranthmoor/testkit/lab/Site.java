package org.amaranthmoor.testkit.lab;

/**
 * The part of a deployment that the simulation models: one service with its network delays.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name in reports
 * @param servers number of servers, spread over three availability zones
 * @param slots number of requests that a server runs concurrently
 * @param zoneNanos one-way delay between availability zones
 * @param clientNanos one-way delay between callers and entry sides
 * @param probesPerSecond limit on the probes of each entry side
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
