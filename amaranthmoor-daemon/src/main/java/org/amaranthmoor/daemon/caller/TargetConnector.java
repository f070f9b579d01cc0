package org.amaranthmoor.daemon.caller;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.daemon.node.NodeIdentity;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.target.TargetSide;

/**
 * Opens exchanges with target sides: this node's own directly, others over links.
 *
 * <p>Safe for use by several threads.
 */
public final class TargetConnector {

  private final NodeIdentity identity;
  private final TargetSide ownTargetSide;
  private final PeerLinks links;
  private final Executor executor;

  /**
   * Creates an access.
   *
   * @param identity this node
   * @param ownTargetSide this node's target side
   * @param links links to other nodes
   * @param executor runs requests at the own target side
   */
  public TargetConnector(
      NodeIdentity identity, TargetSide ownTargetSide, PeerLinks links, Executor executor) {
    this.identity = identity;
    this.ownTargetSide = ownTargetSide;
    this.links = links;
    this.executor = executor;
  }

  /**
   * Starts one attempt.
   *
   * @param server the server
   * @param request the request
   * @param configOffset offset of the configuration it was routed by
   * @return the exchange, or empty if the server's node cannot be reached and nothing was sent
   */
  public Optional<Exchange> open(Server server, CallRequest request, long configOffset) {
    boolean isOwnNode =
        server.node().equals(identity.node())
            && server.incarnation().equals(identity.incarnation());
    if (isOwnNode) {
      return Optional.of(LocalExchange.start(ownTargetSide, request, executor));
    }
    return links.open(peerAddress(server), request, configOffset);
  }

  /** {@return where a server's node is reached} */
  static PeerAddress peerAddress(Server server) {
    return new PeerAddress(server.node(), server.incarnation(), server.host(), server.port());
  }
}
