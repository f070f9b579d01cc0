package org.amaranthmoor.daemon.mesh;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.node.StateFrames;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.yaml.Parsed;

/**
 * Takes the configuration from another node when that has a newer one.
 *
 * <p>The feed is given a moment to bring it first. Safe for use by several threads.
 */
final class PeerConfigReader {

  /**
   * Time that the feed is given, in milliseconds: a part of the time in which it must be in force.
   */
  private static final long FEED_FIRST_MILLIS = 250;

  /** Time over which questions of several nodes are spread, in milliseconds. */
  private static final long SPREAD_MILLIS = 150;

  /** Longest time to wait for a reply, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private final Membership membership;
  private final PeerLinks links;
  private final ConfigHolder config;
  private final ConfigFeed feed;
  private final Consumer<RoutingConfig> listener;
  private final EventLog log;
  // The newest version that a question is under way for.
  private final AtomicLong asked = new AtomicLong(-1);

  PeerConfigReader(
      Membership membership,
      PeerLinks links,
      ConfigHolder config,
      ConfigFeed feed,
      Consumer<RoutingConfig> listener,
      EventLog log) {
    this.membership = membership;
    this.links = links;
    this.config = config;
    this.feed = feed;
    this.listener = listener;
    this.log = log;
  }

  /** Reads a version from a node unless it has come by itself meanwhile. Blocks. */
  void readLater(String node, long version) {
    if (!Names.isName(node) || asked.getAndAccumulate(version, Math::max) >= version) {
      return;
    }
    try {
      Thread.sleep(FEED_FIRST_MILLIS + ThreadLocalRandom.current().nextLong(SPREAD_MILLIS));
      if (config.version() < version) {
        membership.member(new NodeName(node)).ifPresent(this::read);
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
            .query(address, id -> StateFrames.request(id, config.version()), TIMEOUT_MILLIS)
            .map(frame -> frame.getStateReply().getPiece())
            .filter(piece -> !piece.isEmpty())
            .map(ByteString::toByteArray);
    if (document.isEmpty()) {
      log.warn("config-not-at-peer", () -> "peer=" + peer.node());
      return;
    }
    switch (feed.decode(document.get())) {
      case Parsed.Valid<RoutingConfig> valid -> listener.accept(valid.value());
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
