package org.amaranthmoor.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ZoneName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementTests {

  private static final long MILLI = 1_000_000L;
  private static final ZoneName OWN = new ZoneName("z0");
  private static final RuleName RULE = new RuleName("pages");

  private final Picker picker = new Picker(new PickPolicy.ZoneFirst(8), OWN);
  private final SplittableRandom random = new SplittableRandom(3);

  private List<Placement.Choice> refusedByAll(List<Server> servers, long nowNanos) {
    Placement placement = new Placement(servers, picker, OWN, RULE, Placement.Worth.IN_TIME);
    List<Placement.Choice> asked = new ArrayList<>();
    Optional<Placement.Choice> choice = placement.next(nowNanos, random);
    while (choice.isPresent()) {
      asked.add(choice.get());
      placement.onReply(choice.get(), Placement.Reply.LATER, nowNanos);
      choice = placement.next(nowNanos, random);
    }
    return asked;
  }

  private static boolean near(Placement.Choice choice) {
    return choice.server().zone().equals(OWN);
  }

  @Test
  void serversOfTheOwnZoneComeFirst() {
    List<Placement.Choice> asked = refusedByAll(Servers.servers(6), Servers.NOW);

    assertTrue(near(asked.get(0)) && near(asked.get(1)), "the two servers of the own zone first");
    assertEquals(2, asked.stream().filter(choice -> !near(choice)).count());
    assertTrue(near(asked.getLast()), "at last the own zone is asked to answer late");
  }

  @Test
  void patienceGrowsFromSoonToTheDeadline() {
    List<Placement.Choice> asked = refusedByAll(Servers.servers(6), Servers.NOW);

    assertTrue(asked.get(0).patiencePercent() < asked.get(2).patiencePercent());
    assertEquals(0, asked.getLast().patiencePercent());
  }

  @Test
  void aRequestWhoseObjectiveHasPassedAsksOnlyTheOwnZoneToAnswerLate() {
    Placement placement =
        new Placement(Servers.servers(6), picker, OWN, RULE, Placement.Worth.LATE);

    Placement.Choice choice = placement.next(Servers.NOW, random).orElseThrow();

    assertTrue(near(choice));
    assertEquals(0, choice.patiencePercent());
    assertTrue(placement.next(Servers.NOW, random).isEmpty());
  }

  @Test
  void aServerThatCannotBeInTimeIsNotAskedToBeMorePatient() {
    Placement placement =
        new Placement(Servers.servers(6), picker, OWN, RULE, Placement.Worth.IN_TIME);
    int near = 0;
    for (int i = 0; i < 4; i++) {
      Placement.Choice choice = placement.next(Servers.NOW, random).orElseThrow();
      near += near(choice) ? 1 : 0;
      placement.onReply(choice, Placement.Reply.BUSY, Servers.NOW);
    }

    assertEquals(2, near, "each of the own zone is asked once, then two of other zones");
  }

  @Test
  void aRequestThatARunningOneNeedsIsServedLateByAnyZone() {
    List<Server> others = Servers.servers(6).stream().filter(s -> !s.zone().equals(OWN)).toList();
    Placement placement = new Placement(others, picker, OWN, RULE, Placement.Worth.NEEDED);
    List<Placement.Choice> asked = new ArrayList<>();
    Optional<Placement.Choice> choice = placement.next(Servers.NOW, random);
    while (choice.isPresent()) {
      asked.add(choice.get());
      placement.onReply(choice.get(), Placement.Reply.BUSY, Servers.NOW);
      choice = placement.next(Servers.NOW, random);
    }

    assertEquals(0, asked.getLast().patiencePercent());
  }

  @Test
  void aServerThatMayHaveTheRequestIsNotAskedAgain() {
    List<Server> servers = Servers.servers(1);
    Placement placement = new Placement(servers, picker, OWN, RULE, Placement.Worth.IN_TIME);
    Placement.Choice first = placement.next(Servers.NOW, random).orElseThrow();

    placement.onReached(first.server());

    assertTrue(placement.next(Servers.NOW, random).isEmpty());
  }

  @Nested
  class WhenAllServersRefuse {

    @Test
    void aRequestThatARunningOneNeedsAsksAllTheSame() {
      Placement placement = new Placement(servers, picker, OWN, RULE, Placement.Worth.NEEDED);

      assertTrue(placement.next(Servers.NOW + MILLI, random).isPresent());
    }

    private final List<Server> servers = Servers.servers(6);

    // Each request asks only some servers, so it takes a few until all have refused.
    {
      for (int i = 0; i < 4; i++) {
        refusedByAll(servers, Servers.NOW);
      }
    }

    @Test
    void theNextRequestAsksNobodyForAMoment() {
      assertEquals(List.of(), refusedByAll(servers, Servers.NOW + MILLI));
    }

    @Test
    void theOwnZoneIsAskedAgainBeforeOtherZones() {
      List<Placement.Choice> asked = refusedByAll(servers, Servers.NOW + 45 * MILLI);

      assertTrue(!asked.isEmpty() && asked.stream().allMatch(PlacementTests::near));
    }

    @Test
    void otherZonesAreAskedLessAndLessOften() {
      long far = 0;
      for (int at = 0; at < 4_000; at += 10) {
        far +=
            refusedByAll(servers, Servers.NOW + at * MILLI).stream()
                .filter(choice -> !near(choice))
                .count();
      }

      assertTrue(far <= 4 * 16, "asked other zones " + far + " times in four seconds of refusals");
    }

    @Test
    void aTakenRequestEndsThePause() {
      Placement placement = new Placement(servers, picker, OWN, RULE, Placement.Worth.IN_TIME);
      Placement.Choice choice = placement.next(Servers.NOW + 2_000 * MILLI, random).orElseThrow();
      placement.onReply(choice, Placement.Reply.TAKEN, Servers.NOW + 2_000 * MILLI);

      assertTrue(
          placement.next(Servers.NOW + 2_001 * MILLI, random).isPresent(), "others are asked");
    }
  }
}
