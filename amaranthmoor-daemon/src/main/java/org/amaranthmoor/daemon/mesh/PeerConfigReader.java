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
import org.amaranthmoor.yaml.Parsed;

/**
 * Takes the configuration from another node when that has a newer one.
 *
 * <p>A neighbour in the own availability zone is asked at once. Where only a node of another zone
 * is known to have it, the neighbours and the feed are given a moment to bring it first. Safe for
 * use by several threads.
 */
final class PeerConfigReader {

  /**
   * Time that neighbours and the feed are given, in milliseconds: a part of the time in which a
   * version must be in force.
   */
  private static final long NEAR_FIRST_MILLIS = 400;

  /** Time over which questions of several nodes are spread, in milliseconds. */
  private static final long SPREAD_MILLIS = 100;

  /** Longest time to wait for a reply, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 600;

  private final ZoneName ownZone;
  private final Membership membership;
  private final PeerLinks links;
  private final ConfigHolder config;
  private final ConfigFeed feed;
  private final BiConsumer<RoutingConfig, Member> listener;
  private final ConfigReadPolicy watch;
  private final EventLog log;
  // The newest versions that a question is under way for, in the own zone and beyond.
  private final AtomicLong askedNear = new AtomicLong(-1);
  private final AtomicLong askedFar = new AtomicLong(-1);

  PeerConfigReader(
      ZoneName ownZone,
      Membership membership,
      PeerLinks links,
      ConfigHolder config,
      ConfigFeed feed,
      BiConsumer<RoutingConfig, Member> listener,
      ConfigReadPolicy watch,
      EventLog log) {
    this.ownZone = ownZone;
    this.membership = membership;
    this.links = links;
    this.config = config;
    this.feed = feed;
    this.listener = listener;
    this.watch = watch;
    this.log = log;
  }

  /** Reads a version from a node unless it has come by itself meanwhile. Blocks. */
  void readLater(String node, long version) {
    Optional<Member> peer =
        Names.isName(node) ? membership.member(new NodeName(node)) : Optional.empty();
    if (peer.isEmpty()) {
      return;
    }
    boolean near = peer.get().zone().equals(ownZone);
    AtomicLong asked = near ? askedNear : askedFar;
    if (asked.getAndAccumulate(version, Math::max) >= version) {
      return;
    }
    try {
      long spreadMillis = ThreadLocalRandom.current().nextLong(SPREAD_MILLIS);
      Thread.sleep((near ? 0 : NEAR_FIRST_MILLIS) + spreadMillis);
      if (config.version() < version) {
        read(peer.get());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      // Another node is asked on the next sign of the version if this one did not answer.
      asked.compareAndSet(version, -1);
    }
  }

  private void read(Member peer) {
    PeerAddress address =
        new PeerAddress(peer.node(), peer.incarnation(), peer.host(), peer.port());
    Optional<byte[]> document =
        links
            .query(address, id -> QueryFrames.stateRequest(id, config.version()), TIMEOUT_MILLIS)
            .map(frame -> frame.getStateReply().getPiece())
            .filter(piece -> !piece.isEmpty())
            .map(ByteString::toByteArray)
            .flatMap(PackedDocument::unpack);
    if (document.isEmpty()) {
      log.warn("config-not-at-peer", () -> "peer=" + peer.node());
      watch.onPeerFetchFailure();
      return;
    }
    switch (feed.decode(document.get())) {
      case Parsed.Valid<RoutingConfig> valid -> listener.accept(valid.value(), peer);
      case Parsed.Invalid<RoutingConfig> invalid ->
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
