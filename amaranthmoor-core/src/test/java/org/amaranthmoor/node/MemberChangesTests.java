package org.amaranthmoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ZoneName;
import org.junit.jupiter.api.Test;

class MemberChangesTests {

  private final MemberChanges changes = new MemberChanges();

  private static Member member(String name, long incarnation, Member.Liveness liveness) {
    return new Member(
        new NodeName(name),
        new Incarnation(incarnation),
        liveness,
        "10.0.0.1",
        7_000,
        new ZoneName("z0"),
        new RegionName("r0"),
        true,
        0);
  }

  @Test
  void aNewMemberIsReported() {
    assertEquals(
        List.of("n1:unknown>ALIVE/1"),
        changes.update(List.of(member("n1", 1, Member.Liveness.ALIVE))));
  }

  @Test
  void noChangeIsReportedTwice() {
    changes.update(List.of(member("n1", 1, Member.Liveness.ALIVE)));

    assertEquals(List.of(), changes.update(List.of(member("n1", 1, Member.Liveness.ALIVE))));
  }

  @Test
  void deathsRestartsAndRemovedMembersAreReported() {
    changes.update(
        List.of(
            member("n1", 1, Member.Liveness.ALIVE),
            member("n2", 1, Member.Liveness.ALIVE),
            member("n3", 1, Member.Liveness.DEAD)));

    assertEquals(
        List.of("n1:ALIVE/1>DEAD/1", "n2:ALIVE/1>ALIVE/2", "n3:DEAD/1>unknown"),
        changes.update(
            List.of(
                member("n1", 1, Member.Liveness.DEAD), member("n2", 2, Member.Liveness.ALIVE))));
  }
}
