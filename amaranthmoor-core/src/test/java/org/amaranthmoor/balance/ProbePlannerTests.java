package org.amaranthmoor.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ProbePlannerTests {

  private static final long SECOND = 1_000_000_000L;
  private static final double PROBES_PER_SECOND = 5;
  private static final int BURST = 2;

  @ParameterizedTest
  @ValueSource(ints = {10, 100, 1_000, 10_000, 100_000})
  void aBurstOfCallsDoesNotRaiseTheNumberOfProbes(int callsPerSecond) {
    List<Server> servers = Servers.servers(6);
    ProbePlanner planner = new ProbePlanner(PROBES_PER_SECOND, 0);
    SplittableRandom random = new SplittableRandom(1);
    int seconds = 3;
    for (int i = 0; i < seconds * callsPerSecond; i++) {
      planner.plan(servers, i * SECOND / callsPerSecond, random);
    }

    assertTrue(
        planner.planned() <= PROBES_PER_SECOND * seconds + BURST, "planned " + planner.planned());
  }

  @Test
  void aServerWithAFreshReportIsNotProbed() {
    List<Server> servers = Servers.servers(1);
    Servers.answerCall(servers.getFirst(), 1_000, 0);
    ProbePlanner planner = new ProbePlanner(PROBES_PER_SECOND, Servers.NOW);

    assertEquals(Optional.empty(), planner.plan(servers, Servers.NOW, new SplittableRandom(1)));
  }

  @Test
  void aBudgetOfZeroAllowsNoMoreThanTheBurst() {
    List<Server> servers = Servers.servers(1);
    ProbePlanner planner = new ProbePlanner(0, 0);
    for (int i = 0; i < 10_000; i++) {
      planner.plan(servers, i * SECOND, new SplittableRandom(1));
    }

    assertTrue(planner.planned() <= BURST, "planned " + planner.planned());
  }
}
