package org.amaranthmoor.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EjectionTests {

  private static final int MANY = 20;

  @ParameterizedTest
  @CsvSource({"1, 0", "2, 1", "3, 1", "6, 2", "9, 3"})
  void atMostAThirdOfTheServersOrOneOfTwoAreEjected(int count, int ejected) {
    List<Server> servers = Servers.servers(count);

    servers.forEach(server -> Servers.fail(servers, server, MANY));

    assertEquals(ejected, servers.stream().filter(s -> s.stats().ejected(Servers.NOW)).count());
  }

  @Test
  void aSingleFailureEjectsNothing() {
    List<Server> servers = Servers.servers(3);

    Servers.fail(servers, servers.getFirst(), 1);

    assertFalse(servers.getFirst().stats().ejected(Servers.NOW));
  }

  @Test
  void afterAnEjectionOneCallAtATimeTriesTheServer() {
    List<Server> servers = Servers.servers(3);
    ServerStats stats = servers.getFirst().stats();
    Servers.fail(servers, servers.getFirst(), MANY);
    long later = Servers.NOW + 2_000_000_000L;

    assertFalse(Ejection.holdsBack(stats, later));
    stats.onStart(later);
    assertTrue(Ejection.holdsBack(stats, later));
  }

  @Test
  void aSuccessEndsTheProbation() {
    List<Server> servers = Servers.servers(3);
    ServerStats stats = servers.getFirst().stats();
    Servers.fail(servers, servers.getFirst(), MANY);
    long later = Servers.NOW + 2_000_000_000L;

    stats.onStart(later);
    stats.onFinish(1_000, false, later);
    Ejection.afterCall(servers, servers.getFirst(), false, later);

    assertFalse(stats.onProbation(later));
  }
}
