package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.Member;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerLinksTests {

  private static final NodeName NODE = new NodeName("n1");

  /**
   * Members may report a restarted node that is slow as dead while it still responds on its links.
   * Closing such a link would abort its pending requests.
   */
  @ParameterizedTest
  @CsvSource({
    "ALIVE, 5, false, false",
    "ALIVE, 5, true, false",
    "SUSPECT, 5, false, false",
    "DEAD, 5, false, true",
    "DEAD, 5, true, false",
    "LEFT, 5, false, true",
    "LEFT, 5, true, false",
    "ALIVE, 6, true, true",
    "ALIVE, 6, false, true",
    "DEAD, 6, true, true",
  })
  void closesLinkIfItsNodeWasReplacedOrIsUnreachableWithNothingPending(
      Member.Liveness liveness, long incarnation, boolean hasPending, boolean expected) {
    Member member =
        new Member(
            NODE,
            new Incarnation(incarnation),
            liveness,
            "127.0.0.1",
            1,
            new ZoneName("z"),
            new RegionName("r"),
            false,
            0);
    PeerAddress address = new PeerAddress(NODE, new Incarnation(5), "127.0.0.1", 1);

    assertEquals(expected, PeerLinks.shouldClose(member, address, hasPending));
  }
}
