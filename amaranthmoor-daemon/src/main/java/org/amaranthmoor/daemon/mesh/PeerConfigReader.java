package org.amaranthmoor.daemon.mesh;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.node.QueryFrames;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.ConfigReadPolicy;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.yaml.ParseResult;

/**
 * Fetches the configuration from another node that announces a newer version.
 *
 * <p>A peer of the own availability zone is queried at once. If only a node of another zone is
 * known to have the version, the query is delayed so that the peers of the own zone and the source
 * can deliver it first. Safe for use by several threads.
 */
final class PeerConfigReader {

  /**
   * Time that the own zone and the source have to deliver a version before another zone is queried,
   * in milliseconds; a part of the time within which a version must be in force.
   */
  private static final long OTHER_ZONE_DELAY_MILLIS = 400;

  /** Largest jitter of a query, in milliseconds, so that nodes do not query a peer together. */
  private static final long MAX_JITTER_MILLIS = 100;

  /** Longest wait for a reply, in milliseconds. */
  private static final long REPLY_TIMEOUT_MILLIS = 600;

  private final ZoneName ownZone;
  private final Membership membership;
  private final PeerLinks links;
  private final ConfigHolder configHolder;
  private final ConfigFeed feed;
  private final BiConsumer<RoutingConfig, Member> onConfig;
  private final ConfigReadPolicy readPolicy;
  private final EventLog log;
  // The newest versions that are being requested, from the own zone and from other zones.
  private final AtomicLong requestedInOwnZone = new AtomicLong(-1);
  private final AtomicLong requestedInOtherZones = new AtomicLong(-1);

  PeerConfigReader(
      ZoneName ownZone,
      Membership membership,
      PeerLinks links,
      ConfigHolder configHolder,
      ConfigFeed feed,
      BiConsumer<RoutingConfig, Member> onConfig,
      ConfigReadPolicy readPolicy,
      EventLog log) {
    this.ownZone = ownZone;
    this.membership = membership;
    this.links = links;
    this.configHolder = configHolder;
    this.feed = feed;
    this.onConfig = onConfig;
    this.readPolicy = readPolicy;
    this.log = log;
  }

  /**
   * Waits for the delay of the peer's zone, then fetches the configuration unless the version has
   * arrived in the meantime. Does nothing if the version is being requested already. Blocks.
   *
   * @param node the name of the peer that announces the version
   * @param version the version
   */
  void fetchIfStillNewer(String node, long version) {
    Optional<Member> peer =
        Names.isName(node) ? membership.member(new NodeName(node)) : Optional.empty();
    if (peer.isEmpty()) {
      return;
    }
    boolean inOwnZone = peer.get().zone().equals(ownZone);
    AtomicLong requestedVersion = inOwnZone ? requestedInOwnZone : requestedInOtherZones;
    if (requestedVersion.getAndAccumulate(version, Math::max) >= version) {
      return;
    }
    try {
      long jitterMillis = ThreadLocalRandom.current().nextLong(MAX_JITTER_MILLIS);
      Thread.sleep((inOwnZone ? 0 : OTHER_ZONE_DELAY_MILLIS) + jitterMillis);
      if (configHolder.version() < version) {
        fetch(peer.get());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      // If this peer did not reply, the next announcement of the version starts another query.
      requestedVersion.compareAndSet(version, -1);
    }
  }

  private void fetch(Member peer) {
    PeerAddress address =
        new PeerAddress(peer.node(), peer.incarnation(), peer.host(), peer.port());
    Optional<byte[]> document =
        links
            .query(
                address,
                id -> QueryFrames.stateRequest(id, configHolder.version()),
                REPLY_TIMEOUT_MILLIS)
            .map(frame -> frame.getStateReply().getPiece())
            .filter(piece -> !piece.isEmpty())
            .map(ByteString::toByteArray)
            .flatMap(CompressedDocument::decompress);
    if (document.isEmpty()) {
      log.warn("config-not-at-peer", () -> "peer=" + peer.node());
      readPolicy.onPeerFetchFailure();
      return;
    }
    switch (feed.decode(document.get())) {
      case ParseResult.Valid<RoutingConfig> valid -> onConfig.accept(valid.value(), peer);
      case ParseResult.Invalid<RoutingConfig> invalid ->
          log.warn(
              "config-unreadable",
              () ->
                  "peer="
                      + peer.node()
                      + " problem="
                      + EventLog.quote(invalid.problems().getFirst().toString()));
    }
  }
}
