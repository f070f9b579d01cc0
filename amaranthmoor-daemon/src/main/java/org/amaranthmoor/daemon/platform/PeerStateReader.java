package org.amaranthmoor.daemon.platform;

import java.util.Optional;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.node.QueryFrames;
import org.amaranthmoor.platform.CheckpointCodec;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.protocol.node.Frame;

/**
 * Reads the newest state from another node, for times when the platform does not answer.
 *
 * <p>Safe for use by several threads.
 */
public final class PeerStateReader {

  private static final long TIMEOUT_MILLIS = 2_000;

  private final PeerLinks links;

  /**
   * Creates a reader.
   *
   * @param links carries questions
   */
  public PeerStateReader(PeerLinks links) {
    this.links = links;
  }

  /**
   * Asks a node for its state.
   *
   * @param address the node
   * @param haveOffset offset of the state known here
   * @return the state if it is newer, or empty
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
