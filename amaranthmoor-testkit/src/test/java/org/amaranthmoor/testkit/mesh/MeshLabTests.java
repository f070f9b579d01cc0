package org.amaranthmoor.testkit.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against policies that waste capacity under load: lower bounds on the requests served and
 * the worth earned by the production classes in the simulated mesh.
 */
class MeshLabTests {

  private static MeshLab.LoadPattern pattern(String name) {
    return MeshLab.patterns().stream()
        .filter(pattern -> pattern.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void theSameSeedGivesTheSameResult() {
    assertEquals(
        MeshLab.run(MeshLab.powerLoss(), 7).render(), MeshLab.run(MeshLab.powerLoss(), 7).render());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void nearlyAllRequestsAreServedBelowCapacity(long seed) {
    MeshResult result = MeshLab.run(pattern("calm"), seed);

    assertTrue(result.served() >= 0.95, result.render());
    assertTrue(result.worth() >= 0.9, result.render());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void theLastTargetOfASmallServiceKeepsServing(long seed) {
    MeshResult result = MeshLab.run(pattern("one target left"), seed);

    assertTrue(result.worstKind() >= 0.5, result.render());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void otherZonesServeWhatARateLimitedZoneRefuses(long seed) {
    MeshResult result = MeshLab.run(MeshLab.statedRateLimit(), seed);

    assertTrue(result.served() >= 0.95, result.render());
  }

  @Test
  void theTableContainsAllLoadPatterns() {
    String table = MeshLab.table(1);

    MeshLab.patterns().forEach(p -> assertTrue(table.contains("| " + p.name() + " |"), table));
  }
}
