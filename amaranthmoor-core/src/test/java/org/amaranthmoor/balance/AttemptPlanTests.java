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

class AttemptPlanTests {

  private static final long MILLI = 1_000_000L;
  private static final ZoneName OWN = new ZoneName("z0");
  private static final RuleName RULE = new RuleName("pages");

  private final Picker picker = new Picker(new PickPolicy.ZoneFirst(8), OWN);
  private final SplittableRandom random = new SplittableRandom(3);

  private List<AttemptPlan.Choice> tryUntilAllRefuse(List<Server> servers, long nowNanos) {
    AttemptPlan plan =
        new AttemptPlan(servers, picker, OWN, RULE, AttemptPlan.RequestClass.IN_TIME);
    List<AttemptPlan.Choice> tried = new ArrayList<>();
    Optional<AttemptPlan.Choice> choice = plan.next(nowNanos, random);
    while (choice.isPresent()) {
      tried.add(choice.get());
      plan.onReply(choice.get(), AttemptPlan.Reply.WAIT_TOO_LONG, nowNanos);
      choice = plan.next(nowNanos, random);
    }
    return tried;
  }

  private static boolean isSameZone(AttemptPlan.Choice choice) {
    return choice.server().zone().equals(OWN);
  }

  @Test
  void serversOfTheOwnZoneComeFirst() {
    List<AttemptPlan.Choice> tried = tryUntilAllRefuse(Servers.servers(6), Servers.NOW);

    assertTrue(
        isSameZone(tried.get(0)) && isSameZone(tried.get(1)),
        "the two servers of the own zone come first");
    assertEquals(2, tried.stream().filter(choice -> !isSameZone(choice)).count());
    assertTrue(isSameZone(tried.getLast()), "at last the own zone is tried for a late answer");
  }

  @Test
  void maxWaitGrowsFromShortToTheDeadline() {
    List<AttemptPlan.Choice> tried = tryUntilAllRefuse(Servers.servers(6), Servers.NOW);

    assertTrue(tried.get(0).maxWaitPercent() < tried.get(2).maxWaitPercent());
    assertEquals(0, tried.getLast().maxWaitPercent());
  }

  @Test
  void aRequestWhoseObjectiveHasPassedAsksOnlyTheOwnZoneToAnswerLate() {
    AttemptPlan plan =
        new AttemptPlan(Servers.servers(6), picker, OWN, RULE, AttemptPlan.RequestClass.LATE);

    AttemptPlan.Choice choice = plan.next(Servers.NOW, random).orElseThrow();

    assertTrue(isSameZone(choice));
    assertEquals(0, choice.maxWaitPercent());
    assertTrue(plan.next(Servers.NOW, random).isEmpty());
  }

  @Test
  void aServerThatCannotMeetTheObjectiveIsNotTriedWithALongerMaxWait() {
    AttemptPlan plan =
        new AttemptPlan(Servers.servers(6), picker, OWN, RULE, AttemptPlan.RequestClass.IN_TIME);
    int sameZone = 0;
    for (int i = 0; i < 4; i++) {
      AttemptPlan.Choice choice = plan.next(Servers.NOW, random).orElseThrow();
      sameZone += isSameZone(choice) ? 1 : 0;
      plan.onReply(choice, AttemptPlan.Reply.UNAVAILABLE, Servers.NOW);
    }

    assertEquals(2, sameZone, "tries each server of the own zone once, then two of other zones");
  }

  @Test
  void aNestedRequestIsServedLateByAnyZone() {
    List<Server> others = Servers.servers(6).stream().filter(s -> !s.zone().equals(OWN)).toList();
    AttemptPlan plan = new AttemptPlan(others, picker, OWN, RULE, AttemptPlan.RequestClass.NESTED);
    List<AttemptPlan.Choice> tried = new ArrayList<>();
    Optional<AttemptPlan.Choice> choice = plan.next(Servers.NOW, random);
    while (choice.isPresent()) {
      tried.add(choice.get());
      plan.onReply(choice.get(), AttemptPlan.Reply.UNAVAILABLE, Servers.NOW);
      choice = plan.next(Servers.NOW, random);
    }

    assertEquals(0, tried.getLast().maxWaitPercent());
  }

  @Test
  void aServerThatMayHaveTheRequestIsNotTriedAgain() {
    List<Server> servers = Servers.servers(1);
    AttemptPlan plan =
        new AttemptPlan(servers, picker, OWN, RULE, AttemptPlan.RequestClass.IN_TIME);
    AttemptPlan.Choice first = plan.next(Servers.NOW, random).orElseThrow();

    plan.onReached(first.server());

    assertTrue(plan.next(Servers.NOW, random).isEmpty());
  }

  @Nested
  class WhenAllServersRefuse {

    @Test
    void aNestedRequestIgnoresTheBackoff() {
      AttemptPlan plan =
          new AttemptPlan(servers, picker, OWN, RULE, AttemptPlan.RequestClass.NESTED);

      assertTrue(plan.next(Servers.NOW + MILLI, random).isPresent());
    }

    private final List<Server> servers = Servers.servers(6);

    // Each request is tried at only some servers, so all have refused only after a few requests.
    {
      for (int i = 0; i < 4; i++) {
        tryUntilAllRefuse(servers, Servers.NOW);
      }
    }

    @Test
    void theNextRequestAsksNoServerDuringTheBackoff() {
      assertEquals(List.of(), tryUntilAllRefuse(servers, Servers.NOW + MILLI));
    }

    @Test
    void theOwnZoneIsTriedAgainBeforeOtherZones() {
      List<AttemptPlan.Choice> tried = tryUntilAllRefuse(servers, Servers.NOW + 45 * MILLI);

      assertTrue(!tried.isEmpty() && tried.stream().allMatch(AttemptPlanTests::isSameZone));
    }

    @Test
    void otherZonesAreTriedLessAndLessOften() {
      long otherZones = 0;
      for (int at = 0; at < 4_000; at += 10) {
        otherZones +=
            tryUntilAllRefuse(servers, Servers.NOW + at * MILLI).stream()
                .filter(choice -> !isSameZone(choice))
                .count();
      }

      assertTrue(
          otherZones <= 4 * 16,
          "tried other zones " + otherZones + " times in four seconds of refusals");
    }

    @Test
    void anAcceptedRequestEndsTheBackoff() {
      AttemptPlan plan =
          new AttemptPlan(servers, picker, OWN, RULE, AttemptPlan.RequestClass.IN_TIME);
      AttemptPlan.Choice choice = plan.next(Servers.NOW + 2_000 * MILLI, random).orElseThrow();
      plan.onReply(choice, AttemptPlan.Reply.ACCEPTED, Servers.NOW + 2_000 * MILLI);

      assertTrue(plan.next(Servers.NOW + 2_001 * MILLI, random).isPresent(), "others are tried");
    }
  }
}
