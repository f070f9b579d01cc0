package org.amaranthmoor.daemon.node;

import java.util.List;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.LeaseRequest;
import org.amaranthmoor.protocol.node.StateRequest;

/**
 * Answers other nodes' queries about this node.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface PeerQueryHandler {

  /**
   * Answers a question about the members of this target's service.
   *
   * @param request the question
   * @return the answer
   */
  Frame answerLease(LeaseRequest request);

  /**
   * Answers with the newest state, in pieces.
   *
   * @param request the question
   * @return frames in order
   */
  List<Frame> answerState(StateRequest request);

  /**
   * Answers with this node's status.
   *
   * @param query id of the query
   * @return the answer
   */
  Frame answerStatus(long query);
}
