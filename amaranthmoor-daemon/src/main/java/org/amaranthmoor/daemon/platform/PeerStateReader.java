package org.amaranthmoor.daemon.platform;

import java.util.Optional;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.node.QueryFrames;
import org.amaranthmoor.platform.CheckpointCodec;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.protocol.node.Frame;

/**
 * Reads the newest state from another node while the platform is unavailable.
 *
 * <p>Safe for use by several threads.
 */
public final class PeerStateReader {

  private static final long TIMEOUT_MILLIS = 2_000;

  private final PeerLinks links;

  /**
   * Creates a reader.
   *
   * @param links carries the queries
   */
  public PeerStateReader(PeerLinks links) {
    this.links = links;
  }

  /**
   * Reads the state of a node.
   *
   * @param address the node
   * @param haveOffset offset of the state that this node has
   * @return the state, or empty if it is not newer or the node did not reply in time
   */
  public Optional<ClusterState> read(PeerAddress address, long haveOffset) {
    Optional<Frame> reply =
        links.query(address, id -> QueryFrames.stateRequest(id, haveOffset), TIMEOUT_MILLIS);
    return reply
        .map(frame -> frame.getStateReply().getPiece().toByteArray())
        .flatMap(CheckpointCodec::read)
        .filter(state -> state.offset() > haveOffset);
  }
}
