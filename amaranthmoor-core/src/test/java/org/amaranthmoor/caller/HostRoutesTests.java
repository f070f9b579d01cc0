package org.amaranthmoor.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HostRoutesTests {

  private static ServiceSpec service(String name) {
    return new ServiceSpec(
        new ServiceName(name),
        new NoteId("r1"),
        0.99,
        1_000,
        0.99,
        1_000,
        ServiceSpec.Weighting.COST,
        0,
        0.1);
  }

  private static HostRoutes.Rule rule(
      String name, String prefix, HostRoutes.WeightedService... split) {
    return new HostRoutes.Rule(
        new RuleName(name),
        "a.example",
        prefix,
        List.of(split),
        true,
        Priority.NORMAL,
        2_000,
        500,
        2,
        false);
  }

  private static HostRoutes.Rule rule(String name, String prefix) {
    return rule(name, prefix, new HostRoutes.WeightedService(service("lending"), 1));
  }

  @ParameterizedTest
  @CsvSource({
    "a.example, /p/1, short",
    "A.Example:8080, /p/1, short",
    "a.example, /p/q/1, long",
    "a.example, /p/q/?x=/p/r/, long",
    "a.example, /p/qq/1, short",
    "a.example, /p/, short",
    "a.example, /p, none",
    "a.example, /x/p/1, none",
    "b.example, /p/1, none"
  })
  void theLongestPrefixOfTheHostWins(String host, String path, String expected) {
    HostRoutes routes =
        new HostRoutes(List.of(rule("short", "/p/"), rule("long", "/p/q/")), () -> 0);

    assertEquals(
        expected, routes.find("GET", host, path).map(r -> r.rule().value()).orElse("none"));
  }

  @Test
  void servicesOfASplitGetRequestsByWeight() {
    SplittableRandom random = new SplittableRandom(4);
    HostRoutes.WeightedService mostRequests =
        new HostRoutes.WeightedService(service("lending"), 90);
    HostRoutes.WeightedService fewRequests =
        new HostRoutes.WeightedService(service("workshop"), 10);
    HostRoutes routes =
        new HostRoutes(List.of(rule("r", "/p/", mostRequests, fewRequests)), random::nextDouble);

    int toFew = 0;
    for (int i = 0; i < 10_000; i++) {
      Route route = routes.find("GET", "a.example", "/p/1").orElseThrow();
      toFew += route.service().name().value().equals("workshop") ? 1 : 0;
    }

    assertEquals(1_000, toFew, 150);
  }

  // The cost of a path grew with the square of its segments, and crowds of such paths ended nodes.
  @Test
  @Timeout(60)
  void theCostOfAPathDoesNotGrowWithItsSegments() {
    HostRoutes routes =
        new HostRoutes(List.of(rule("short", "/p/"), rule("long", "/p/q/")), () -> 0);
    String slashes = "/".repeat(16_000);

    for (int i = 0; i < 20_000; i++) {
      assertTrue(routes.find("GET", "a.example", "/a" + slashes).isEmpty());
    }
    assertEquals(
        "short", routes.find("GET", "a.example", "/p" + slashes).orElseThrow().rule().value());
  }

  @Test
  void manyRulesAreFoundByTheirPrefixes() {
    List<HostRoutes.Rule> rules = new ArrayList<>();
    for (int i = 0; i < 1_400; i++) {
      rules.add(rule("r-" + i, "/p" + i + "/"));
    }
    HostRoutes routes = new HostRoutes(rules, () -> 0);

    assertTrue(routes.find("GET", "a.example", "/p1399/x").isPresent());
    assertEquals(
        "r-700", routes.find("GET", "a.example", "/p700/x/y").orElseThrow().rule().value());
  }
}
