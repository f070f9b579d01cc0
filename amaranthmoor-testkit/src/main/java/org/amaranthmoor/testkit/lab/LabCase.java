package org.amaranthmoor.testkit.lab;

import java.util.ArrayList;
import java.util.List;

/**
 * One row of the comparison: a site, a load and what disturbs it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name in reports
 * @param site the site
 * @param kinds kinds of calls
 * @param load offered load as a share of capacity, outside the rush
 * @param rushLoad offered load during the rush
 * @param rushNanos how long the rush lasts, from second 5 on
 * @param seconds length of the run
 * @param disturbances what happens to servers
 * @param reportsLost share of load reports that are lost
 */
record LabCase(
    String name,
    Site site,
    List<LabCallKind> kinds,
    double load,
    double rushLoad,
    long rushNanos,
    int seconds,
    List<Disturbance> disturbances,
    double reportsLost) {

  static final long RUSH_START_NANOS = 5_000_000_000L;
  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final int SECONDS = 20;

  private static LabCase of(String name, Site site, double load, List<Disturbance> list) {
    return new LabCase(name, site, LabCallKind.usual(), load, load, 0, SECONDS, list, 0);
  }

  static List<LabCase> disturbed(Site site) {
    long end = SECONDS * SECOND;
    int n = site.servers();
    List<LabCase> cases = new ArrayList<>();
    cases.add(of("undisturbed", site, 0.7, List.of()));
    for (double factor : new double[] {2, 5, 20}) {
      for (long span : new long[] {5, 50, 500, 5_000}) {
        String name = "slow " + (int) factor + "x for " + span + " ms";
        cases.add(of(name, site, 0.7, Disturbance.slow(n, factor, span * MILLI, end)));
      }
    }
    cases.add(
        of(
            "fails fast for 5 s",
            site,
            0.6,
            Disturbance.once(0, Disturbance.Effect.FAILS_FAST, 5 * SECOND, 5 * SECOND)));
    cases.add(
        of(
            "cold start",
            site,
            0.6,
            List.of(new Disturbance(0, 0, 2 * SECOND, Disturbance.Effect.SLOW, 10))));
    cases.add(
        of(
            "drains",
            site,
            0.6,
            Disturbance.once(0, Disturbance.Effect.DRAINING, 5 * SECOND, 30 * SECOND)));
    cases.add(
        of(
            "freezes for 1 s",
            site,
            0.6,
            Disturbance.once(0, Disturbance.Effect.FROZEN, 5 * SECOND, SECOND)));
    cases.add(of("zone gone for 5 s", site, 0.5, zoneGone(n)));
    cases.add(
        new LabCase(
            "load reports lost", site, LabCallKind.usual(), 0.7, 0.7, 0, SECONDS, List.of(), 0.9));
    cases.add(
        new LabCase(
            "recovery flight",
            site,
            LabCallKind.recoveryFlight(),
            0.7,
            0.7,
            0,
            SECONDS,
            List.of(),
            0));
    return cases;
  }

  private static List<Disturbance> zoneGone(int servers) {
    List<Disturbance> list = new ArrayList<>();
    for (int i = 0; i < servers; i += 3) {
      list.add(new Disturbance(i, 5 * SECOND, 10 * SECOND, Disturbance.Effect.UNREACHABLE, 1));
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
            LabCallKind.usual(),
            0.5,
            5,
            30 * SECOND,
            45,
            List.of(),
            0));
    return cases;
  }
}
