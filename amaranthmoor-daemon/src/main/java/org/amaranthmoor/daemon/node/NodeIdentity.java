package org.amaranthmoor.daemon.node;

import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;

/**
 * Name and incarnation of this node.
 *
 * <p>The incarnation only rises; it changes if the node was evicted while it was alive. Safe for
 * use by several threads.
 */
public final class NodeIdentity {

  private final NodeName node;
  private final AtomicReference<Incarnation> incarnation;

  /**
   * Creates an identity.
   *
   * @param node the node
   * @param incarnation the run of this process
   */
  public NodeIdentity(NodeName node, Incarnation incarnation) {
    this.node = node;
    this.incarnation = new AtomicReference<>(incarnation);
  }

  /** {@return the node} */
  public NodeName node() {
    return node;
  }

  /** {@return the newest incarnation} */
  public Incarnation incarnation() {
    return incarnation.get();
  }

  /**
   * Takes an incarnation greater than one that others have seen.
   *
   * @param seen the incarnation that others have seen
   * @return the new incarnation
   */
  public Incarnation advanceIncarnationBeyond(Incarnation seen) {
    return incarnation.updateAndGet(
        old -> new Incarnation(Math.max(old.value(), seen.value()) + 1));
  }

  /**
   * Takes a greater incarnation.
   *
   * @param wallMillis the current wall-clock time
   * @return the new incarnation
   */
  public Incarnation advanceIncarnation(long wallMillis) {
    return incarnation.updateAndGet(
        old -> new Incarnation(Math.max(old.value() + 1, wallMillis * 1_000)));
  }
}
