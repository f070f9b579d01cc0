package org.amaranthmoor.daemon.quota;

import java.util.Optional;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.protocol.node.QuotaReply;
import org.amaranthmoor.protocol.node.QuotaRequest;

/**
 * Sends demands for tokens to other nodes.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface QuotaLinks {

  /**
   * Sends a demand and waits for the reply.
   *
   * @param node the node
   * @param request the demand, without the id of the query
   * @param timeoutMillis longest time to wait, in milliseconds; opening a link may take longer
   * @return the reply, or empty if none arrived
   */
  Optional<QuotaReply> query(NodeName node, QuotaRequest request, long timeoutMillis);
}
