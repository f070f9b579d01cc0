package org.amaranthmoor.testkit.lab;

import java.util.ArrayList;
import java.util.List;

/**
 * One case of the comparison: a site, a load and the disturbances.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name in reports
 * @param site the site
 * @param kinds kinds of calls
 * @param load offered load as a share of capacity, outside the burst
 * @param burstLoad offered load as a share of capacity during the burst
 * @param burstNanos length of the burst, which starts at second 5
 * @param seconds how long calls arrive
 * @param disturbances the disturbances of servers
 * @param lostReportShare share of load reports that are lost
 */
record LabCase(
    String name,
    Site site,
    List<LabCallKind> kinds,
    double load,
    double burstLoad,
    long burstNanos,
    int seconds,
    List<Disturbance> disturbances,
    double lostReportShare) {

  static final long BURST_START_NANOS = 5_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final int DEFAULT_SECONDS = 20;

  private static LabCase of(String name, Site site, double load, List<Disturbance> list) {
    return new LabCase(
        name, site, LabCallKind.standardKinds(), load, load, 0, DEFAULT_SECONDS, list, 0);
  }

  static List<LabCase> disturbed(Site site) {
    long end = DEFAULT_SECONDS * NANOS_PER_SECOND;
    int n = site.servers();
    List<LabCase> cases = new ArrayList<>();
    cases.add(of("undisturbed", site, 0.7, List.of()));
    for (double factor : new double[] {2, 5, 20}) {
      for (long span : new long[] {5, 50, 500, 5_000}) {
        String name = "slow " + (int) factor + "x for " + span + " ms";
        cases.add(of(name, site, 0.7, Disturbance.slow(n, factor, span * NANOS_PER_MILLI, end)));
      }
    }
    cases.add(
        of(
            "fails fast for 5 s",
            site,
            0.6,
            Disturbance.once(
                0, Disturbance.Effect.FAILS_FAST, 5 * NANOS_PER_SECOND, 5 * NANOS_PER_SECOND)));
    cases.add(
        of(
            "cold start",
            site,
            0.6,
            List.of(new Disturbance(0, 0, 2 * NANOS_PER_SECOND, Disturbance.Effect.SLOW, 10))));
    cases.add(
        of(
            "drains",
            site,
            0.6,
            Disturbance.once(
                0, Disturbance.Effect.DRAINING, 5 * NANOS_PER_SECOND, 30 * NANOS_PER_SECOND)));
    cases.add(
        of(
            "freezes for 1 s",
            site,
            0.6,
            Disturbance.once(
                0, Disturbance.Effect.FROZEN, 5 * NANOS_PER_SECOND, NANOS_PER_SECOND)));
    cases.add(of("zone gone for 5 s", site, 0.5, zoneUnreachable(n)));
    cases.add(
        new LabCase(
            "load reports lost",
            site,
            LabCallKind.standardKinds(),
            0.7,
            0.7,
            0,
            DEFAULT_SECONDS,
            List.of(),
            0.9));
    cases.add(
        new LabCase(
            "recovery flight",
            site,
            LabCallKind.longUploads(),
            0.7,
            0.7,
            0,
            DEFAULT_SECONDS,
            List.of(),
            0));
    return cases;
  }

  private static List<Disturbance> zoneUnreachable(int servers) {
    List<Disturbance> list = new ArrayList<>();
    for (int i = 0; i < servers; i += 3) {
      list.add(
          new Disturbance(
              i, 5 * NANOS_PER_SECOND, 10 * NANOS_PER_SECOND, Disturbance.Effect.UNREACHABLE, 1));
    }
    return list;
  }

  static List<LabCase> overload(Site site) {
    List<LabCase> cases = new ArrayList<>();
    for (double load : new double[] {1.0, 1.5, 3, 10}) {
      cases.add(of("load " + load, site, load, List.of()));
    }
    cases.add(
        new LabCase(
            "rush of 10x for 30 s",
            site,
            LabCallKind.standardKinds(),
            0.5,
            5,
            30 * NANOS_PER_SECOND,
            45,
            List.of(),
            0));
    return cases;
  }
}
