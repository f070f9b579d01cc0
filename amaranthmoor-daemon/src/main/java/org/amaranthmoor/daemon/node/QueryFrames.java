package org.amaranthmoor.daemon.node;

import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.LeaseGrant;
import org.amaranthmoor.protocol.node.StateReply;
import org.amaranthmoor.protocol.node.StateRequest;
import org.amaranthmoor.protocol.node.StatusReply;

/**
 * Creates the frames of queries between nodes: for the configuration, the status and leases.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class QueryFrames {

  private static final int MAX_PIECE_BYTES = 128 * 1024;

  private QueryFrames() {}

  /**
   * Creates a query for a newer configuration.
   *
   * @param query id of the query
   * @param haveOffset offset of the configuration that the sender has
   * @return the frame
   */
  public static Frame stateRequest(long query, long haveOffset) {
    StateRequest request =
        StateRequest.newBuilder().setQuery(query).setHaveOffset(haveOffset).build();
    return Frame.newBuilder().setStateRequest(request).build();
  }

  /**
   * Creates the reply to a query for a configuration, split into pieces.
   *
   * @param query id of the query
   * @param bytes the configuration, empty if the sender of the query already has it
   * @return the frames of the reply, in order
   */
  public static List<Frame> stateReply(long query, byte[] bytes) {
    List<Frame> frames = new ArrayList<>();
    int from = 0;
    do {
      int to = Math.min(bytes.length, from + MAX_PIECE_BYTES);
      frames.add(piece(query, Arrays.copyOfRange(bytes, from, to), to == bytes.length));
      from = to;
    } while (from < bytes.length);
    return frames;
  }

  private static Frame piece(long query, byte[] bytes, boolean last) {
    StateReply reply =
        StateReply.newBuilder()
            .setQuery(query)
            .setPiece(UnsafeByteOperations.unsafeWrap(bytes))
            .setLast(last)
            .build();
    return Frame.newBuilder().setStateReply(reply).build();
  }

  /**
   * Creates the reply to a query for a status, with the values that every node has.
   *
   * @param query id of the query
   * @param identity the node
   * @param configOffset offset of its configuration
   * @param load load of its target side
   * @param target its target
   * @param zone its availability zone
   * @return a builder to which more values can be added
   */
  public static StatusReply.Builder statusReply(
      long query,
      NodeIdentity identity,
      long configOffset,
      LoadReport load,
      String target,
      ZoneName zone) {
    return StatusReply.newBuilder()
        .setQuery(query)
        .setNode(identity.node().value())
        .setIncarnation(identity.incarnation().value())
        .setConfigOffset(configOffset)
        .setLoad(Frames.toMessage(load))
        .setTarget(target)
        .setZone(zone.value());
  }

  /**
   * Creates the reply to a query for a lease.
   *
   * @param query id of the query
   * @param identity the node that replies
   * @param granted whether it confirms the set of members
   * @return the frame
   */
  public static Frame leaseGrant(long query, NodeIdentity identity, boolean granted) {
    LeaseGrant grant =
        LeaseGrant.newBuilder()
            .setQuery(query)
            .setGranter(identity.node().value())
            .setGranterIncarnation(identity.incarnation().value())
            .setGranted(granted)
            .build();
    return Frame.newBuilder().setLeaseGrant(grant).build();
  }
}
