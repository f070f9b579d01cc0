package org.amaranthmoor.daemon.node;

import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;

/**
 * Name and incarnation of this node.
 *
 * <p>Invariant: the incarnation only increases. It changes if the node was evicted while it was
 * alive, or if other nodes know a greater one. Safe for use by several threads.
 */
public final class NodeIdentity {

  private final NodeName node;
  private final AtomicReference<Incarnation> incarnation;

  /**
   * Creates an identity.
   *
   * @param node the name of the node
   * @param incarnation the first incarnation of this process
   */
  public NodeIdentity(NodeName node, Incarnation incarnation) {
    this.node = node;
    this.incarnation = new AtomicReference<>(incarnation);
  }

  /** {@return the name of the node} */
  public NodeName node() {
    return node;
  }

  /** {@return the current incarnation} */
  public Incarnation incarnation() {
    return incarnation.get();
  }

  /**
   * Sets an incarnation greater than the current one and than one that other nodes know.
   *
   * @param seen the incarnation that other nodes know
   * @return the new incarnation
   */
  public Incarnation advanceIncarnationBeyond(Incarnation seen) {
    return incarnation.updateAndGet(
        old -> new Incarnation(Math.max(old.value(), seen.value()) + 1));
  }

  /**
   * Sets an incarnation greater than the current one.
   *
   * @param wallMillis the current wall-clock time, in milliseconds
   * @return the new incarnation
   */
  public Incarnation advanceIncarnation(long wallMillis) {
    return incarnation.updateAndGet(
        old -> new Incarnation(Math.max(old.value() + 1, wallMillis * 1_000)));
  }
}
