package org.amaranthmoor.node;

import java.util.Optional;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.protocol.node.MemberState;

/**
 * State of one member in the view of a node.
 *
 * <p>Of two states of one member the one with the greater incarnation wins. Within an incarnation
 * {@link Liveness#LEFT} is final; otherwise the greater version wins, then the worse liveness. Only
 * the member itself raises its version.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the member
 * @param incarnation the run of its process
 * @param liveness whether it is believed alive
 * @param host its IP address
 * @param port its TCP port for nodes
 * @param zone its availability zone
 * @param region its region
 * @param draining whether it refuses new work
 * @param version rises with each change the member makes to its own state
 * @param servedService the service that its target reports to serve, or empty if not known
 */
public record Member(
    NodeName node,
    Incarnation incarnation,
    Liveness liveness,
    String host,
    int port,
    ZoneName zone,
    RegionName region,
    boolean draining,
    long version,
    Optional<ServedService> servedService) {

  /**
   * Creates the state of a member whose target has not reported a service.
   *
   * @param node the member
   * @param incarnation the run of its process
   * @param liveness whether it is believed alive
   * @param host its IP address
   * @param port its TCP port for nodes
   * @param zone its availability zone
   * @param region its region
   * @param draining whether it refuses new work
   * @param version rises with each change the member makes to its own state
   */
  public Member(
      NodeName node,
      Incarnation incarnation,
      Liveness liveness,
      String host,
      int port,
      ZoneName zone,
      RegionName region,
      boolean draining,
      long version) {
    this(
        node, incarnation, liveness, host, port, zone, region, draining, version, Optional.empty());
  }

  /**
   * Liveness of a member in the view of a node; for equal versions a later constant overrides an
   * earlier one.
   */
  public enum Liveness {
    /** The member answers pings. */
    ALIVE,
    /** The member did not answer a ping and may still refute the suspicion. */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    DEAD,
    /** The member announced that it leaves. */
    LEFT
  }

  /**
   * Returns whether this state replaces another state of the same member.
   *
   * @param other the other state
   * @return whether this state wins
   */
  public boolean overrides(Member other) {
    int byIncarnation = incarnation.compareTo(other.incarnation);
    if (byIncarnation != 0) {
      return byIncarnation > 0;
    }
    if (other.liveness == Liveness.LEFT) {
      return false;
    }
    if (liveness == Liveness.LEFT) {
      return true;
    }
    if (version != other.version) {
      return version > other.version;
    }
    return liveness.compareTo(other.liveness) > 0;
  }

  /** {@return whether calls and pings may go to the member} */
  public boolean reachable() {
    return liveness == Liveness.ALIVE || liveness == Liveness.SUSPECT;
  }

  /**
   * Returns the same member with another liveness.
   *
   * @param changed the liveness
   * @return the state
   */
  public Member withLiveness(Liveness changed) {
    return new Member(
        node, incarnation, changed, host, port, zone, region, draining, version, servedService);
  }

  /**
   * {@return a hash of node, incarnation, version and liveness that is the same in every process}
   */
  long stateHash() {
    long hash = node.value().hashCode();
    hash = hash * 1_000_003 + incarnation.value();
    hash = hash * 1_000_003 + version;
    hash = hash * 1_000_003 + liveness.name().hashCode();
    return hash * 0x9E3779B97F4A7C15L;
  }

  /**
   * Encodes the state. The message of an unreachable member omits its address and service, which
   * nobody uses while it is unreachable.
   */
  MemberState toMessage() {
    MemberState.Builder message =
        MemberState.newBuilder()
            .setNode(node.value())
            .setIncarnation(incarnation.value())
            .setLiveness(toMessage(liveness))
            .setVersion(version);
    if (reachable()) {
      message
          .setHost(host)
          .setPort(port)
          .setZone(zone.value())
          .setRegion(region.value())
          .setDraining(draining);
      servedService.ifPresent(
          serves -> message.setService(serves.service().value()).setSlots(serves.slots()));
    }
    return message.build();
  }

  /** Decodes the state of an unreachable member and takes its address from the known state. */
  static Member unreachable(MemberState message, Member known) {
    return new Member(
        known.node,
        new Incarnation(message.getIncarnation()),
        toLiveness(message.getLiveness()),
        known.host,
        known.port,
        known.zone,
        known.region,
        true,
        message.getVersion());
  }

  static Member of(MemberState message) {
    return new Member(
        new NodeName(message.getNode()),
        new Incarnation(message.getIncarnation()),
        toLiveness(message.getLiveness()),
        message.getHost(),
        message.getPort(),
        new ZoneName(message.getZone()),
        new RegionName(message.getRegion()),
        message.getDraining(),
        message.getVersion(),
        Names.isName(message.getService())
            ? Optional.of(
                new ServedService(new ServiceName(message.getService()), message.getSlots()))
            : Optional.empty());
  }

  private static MemberState.Liveness toMessage(Liveness liveness) {
    return switch (liveness) {
      case ALIVE -> MemberState.Liveness.ALIVE;
      case SUSPECT -> MemberState.Liveness.SUSPECT;
      case DEAD -> MemberState.Liveness.DEAD;
      case LEFT -> MemberState.Liveness.LEFT;
    };
  }

  private static Liveness toLiveness(MemberState.Liveness liveness) {
    return switch (liveness) {
      case ALIVE -> Liveness.ALIVE;
      case SUSPECT -> Liveness.SUSPECT;
      case LEFT -> Liveness.LEFT;
      case DEAD, UNRECOGNIZED -> Liveness.DEAD;
    };
  }
}
