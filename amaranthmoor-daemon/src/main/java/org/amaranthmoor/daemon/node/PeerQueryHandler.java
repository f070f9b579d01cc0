package org.amaranthmoor.daemon.node;

import java.util.List;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.LeaseRequest;
import org.amaranthmoor.protocol.node.QuotaRequest;
import org.amaranthmoor.protocol.node.StateRequest;

/**
 * Answers queries of other nodes.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface PeerQueryHandler {

  /**
   * Confirms or denies the set of members of this target's service that another node knows.
   *
   * @param request the query with the fingerprint of the set
   * @return the reply
   */
  Frame answerLease(LeaseRequest request);

  /**
   * Returns the newest configuration in pieces, or one empty piece if the sender already has it.
   *
   * @param request the query with the offset that the sender has
   * @return the frames of the reply, in order
   */
  List<Frame> answerState(StateRequest request);

  /**
   * Returns the status of this node.
   *
   * @param query id of the query
   * @return the reply
   */
  Frame answerStatus(long query);

  /**
   * Grants tokens of the quotas that this node owns. Must not block.
   *
   * @param request the demand for tokens
   * @return the reply
   */
  Frame answerQuota(QuotaRequest request);
}
