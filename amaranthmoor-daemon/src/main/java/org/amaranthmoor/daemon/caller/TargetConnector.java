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
import org.amaranthmoor.model.TimeSource;

/**
 * Opens exchanges with target sides: directly with this node's own, over links with those of other
 * nodes.
 *
 * <p>Safe for use by several threads.
 */
public final class TargetConnector {

  private final NodeIdentity identity;
  private final TargetSide ownTargetSide;
  private final PeerLinks links;
  private final Executor executor;
  private final TimeSource time;

  /**
   * Creates a connector.
   *
   * @param identity this node
   * @param ownTargetSide this node's target side
   * @param links links to other nodes
   * @param executor runs requests at this node's target side
   * @param time the clock
   */
  public TargetConnector(
      NodeIdentity identity,
      TargetSide ownTargetSide,
      PeerLinks links,
      Executor executor,
      TimeSource time) {
    this.identity = identity;
    this.ownTargetSide = ownTargetSide;
    this.links = links;
    this.executor = executor;
    this.time = time;
  }

  /**
   * Starts one attempt at a request.
   *
   * @param server the server
   * @param request the request
   * @param configOffset offset of the configuration by which the request was routed
   * @return the exchange, or empty if the server's node cannot be reached, so that nothing was sent
   */
  public Optional<Exchange> open(Server server, CallRequest request, long configOffset) {
    if (isOwnNode(server)) {
      // The start comes last: an error after it would have the request running without an exchange.
      LocalExchange exchange = new LocalExchange(ownTargetSide, request, time);
      Optional<Exchange> opened = Optional.of(exchange);
      exchange.startOn(executor);
      return opened;
    }
    return links.open(peerAddress(server), request, configOffset);
  }

  /** {@return whether a server's node is this one} */
  boolean isOwnNode(Server server) {
    return server.node().equals(identity.node())
        && server.incarnation().equals(identity.incarnation());
  }

  /** {@return the address of a server's node} */
  static PeerAddress peerAddress(Server server) {
    return new PeerAddress(server.node(), server.incarnation(), server.host(), server.port());
  }
}
