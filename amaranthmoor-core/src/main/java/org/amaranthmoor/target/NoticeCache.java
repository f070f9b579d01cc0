package org.amaranthmoor.target;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.model.NodeName;

/**
 * What the targets beside other nodes state of themselves, from the answers that this node
 * received.
 *
 * <p>Requests carry it to the node beside the target, which has lost it if it was restarted.
 * Invariants: a notice outlives the process of that node, and is replaced only by one of the same
 * run or a later one; a run that leaves never ceases to. Safe for use by several threads.
 */
public final class NoticeCache {

  /** Nodes whose notices are kept at most; beyond, the oldest entry goes. */
  private static final int MAX_NODES = 10_000;

  private final Map<NodeName, RunNotice> byNode =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeName, RunNotice> eldest) {
          return size() > MAX_NODES;
        }
      };

  /** Creates an empty memory. */
  public NoticeCache() {}

  /**
   * Takes in a notice.
   *
   * @param node the node beside the target
   * @param notice what the target states by that node
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
   * Returns what restricts requests to the target beside a node.
   *
   * @param node the node
   * @return the notice, or empty if none restricts them
   */
  public synchronized Optional<RunNotice> restriction(NodeName node) {
    return Optional.ofNullable(byNode.get(node)).filter(RunNotice::restricts);
  }
}
