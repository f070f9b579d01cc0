package org.amaranthmoor.target;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.model.NodeName;

/**
 * The last notice of each other node's target, taken from the answers that this node received.
 *
 * <p>Requests carry the notice back to the target's node, which has lost it if its process was
 * restarted. Invariants: a notice is kept when the process of the target's node ends, and is
 * replaced only by one of the same run or of a later one; a run that was leaving stays so. Safe for
 * use by several threads.
 */
public final class NoticeCache {

  /** Maximum number of nodes whose notices are kept; the oldest entry is dropped first. */
  private static final int MAX_NODES = 10_000;

  private final Map<NodeName, RunNotice> byNode =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeName, RunNotice> eldest) {
          return size() > MAX_NODES;
        }
      };

  /** Creates an empty cache. */
  public NoticeCache() {}

  /**
   * Records a notice.
   *
   * @param node the target's node
   * @param notice the notice that the node passed on
   */
  public synchronized void onNotice(NodeName node, RunNotice notice) {
    byNode.merge(node, notice, NoticeCache::newer);
  }

  private static RunNotice newer(RunNotice known, RunNotice received) {
    if (!known.run().equals(received.run())) {
      return received.run().startedMillis() < known.run().startedMillis() ? known : received;
    }
    boolean leaving = known.notice().leaving() || received.notice().leaving();
    return new RunNotice(known.run(), new TargetNotice(received.notice().limit(), leaving));
  }

  /**
   * Returns the notice that restricts requests to a node's target.
   *
   * @param node the node
   * @return the notice, or empty if no restriction is known
   */
  public synchronized Optional<RunNotice> restriction(NodeName node) {
    return Optional.ofNullable(byNode.get(node)).filter(RunNotice::restricts);
  }
}
