package org.amaranthmoor.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EjectionTests {

  private static final int MANY_FAILURES = 20;

  @ParameterizedTest
  @CsvSource({"1, 0", "2, 1", "3, 1", "6, 2", "9, 3"})
  void atMostAThirdOfTheServersOrOneOfTwoAreEjected(int count, int ejected) {
    List<Server> servers = Servers.servers(count);

    servers.forEach(server -> Servers.failCalls(servers, server, MANY_FAILURES));

    assertEquals(ejected, servers.stream().filter(s -> s.stats().ejected(Servers.NOW)).count());
  }

  @Test
  void aSingleFailureEjectsNothing() {
    List<Server> servers = Servers.servers(3);

    Servers.failCalls(servers, servers.getFirst(), 1);

    assertFalse(servers.getFirst().stats().ejected(Servers.NOW));
  }

  @Test
  void afterAnEjectionOneCallAtATimeTriesTheServer() {
    List<Server> servers = Servers.servers(3);
    ServerStats stats = servers.getFirst().stats();
    Servers.failCalls(servers, servers.getFirst(), MANY_FAILURES);
    long later = Servers.NOW + 2_000_000_000L;

    assertFalse(Ejection.shouldAvoid(stats, later));
    stats.onStart(later);
    assertTrue(Ejection.shouldAvoid(stats, later));
  }

  @Test
  void aSuccessEndsTheProbation() {
    List<Server> servers = Servers.servers(3);
    ServerStats stats = servers.getFirst().stats();
    Servers.failCalls(servers, servers.getFirst(), MANY_FAILURES);
    long later = Servers.NOW + 2_000_000_000L;

    stats.onStart(later);
    stats.onFinish(1_000, false, later);
    Ejection.afterCall(servers, servers.getFirst(), false, later);

    assertFalse(stats.onProbation(later));
  }
}
