package org.amaranthmoor.daemon.node;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.protocol.node.Gossip;
import org.amaranthmoor.protocol.node.LeftTargetRun;
import org.amaranthmoor.target.LeftRuns;
import org.amaranthmoor.target.TargetRun;

/**
 * Keeps the leaves of other nodes' targets, and returns them to a node that has restarted.
 *
 * <p>A node announces a leave to a few members before it acknowledges the leave, because the shared
 * records may be unavailable at that moment. Each introduction of a node carries the leaves that it
 * knows; a receiver that keeps others of that node replies with them. Invariant: leaves of at most
 * {@link #MAX_NODES} nodes are kept. Safe for use by several threads.
 */
public final class LeaveExchange {

  /** Largest number of nodes whose leaves are kept; the node that is known longest is dropped. */
  static final int MAX_NODES = 1_024;

  private final Membership membership;
  private final Consumer<List<TargetRun>> onOwnLeaves;
  private final Map<NodeName, LeftRuns> keptByNode = new LinkedHashMap<>();

  /**
   * Creates an exchange.
   *
   * @param membership the members
   * @param onOwnLeaves receives runs of this node's target that have left, as an earlier process of
   *     this node announced; must not block
   */
  public LeaveExchange(Membership membership, Consumer<List<TargetRun>> onOwnLeaves) {
    this.membership = membership;
    this.onOwnLeaves = onOwnLeaves;
  }

  /**
   * Creates messages that announce the runs of this node's target that have left.
   *
   * @param runs the runs, newest last
   * @return messages to send
   */
  public List<Membership.Outgoing> announcements(List<TargetRun> runs) {
    setOwnLeaves(runs);
    return membership.leaveAnnouncements();
  }

  /**
   * Sets the runs of this node's target that have left, which introductions of this node carry.
   *
   * @param runs the runs, newest last
   */
  public void setOwnLeaves(List<TargetRun> runs) {
    membership.setLeftRuns(runs.stream().map(LeaveExchange::toMessage).toList());
  }

  /**
   * Handles the leaves of a message from another node.
   *
   * @param gossip the message
   * @return messages to send
   */
  List<Membership.Outgoing> receive(Gossip gossip) {
    if (!Names.isName(gossip.getSender())) {
      return List.of();
    }
    if (gossip.getReceiverLeftRunsCount() > 0) {
      onOwnLeaves.accept(toRuns(gossip.getReceiverLeftRunsList()));
    }
    NodeName sender = new NodeName(gossip.getSender());
    List<TargetRun> announced = toRuns(gossip.getLeftRunsList());
    List<TargetRun> kept = keep(sender, announced);
    boolean isIntroduction = gossip.getKind() == Gossip.Kind.SYNC && gossip.getSequence() == 0;
    if (!isIntroduction || announced.containsAll(kept)) {
      return List.of();
    }
    return membership
        .leaveReply(sender, kept.stream().map(LeaveExchange::toMessage).toList())
        .map(List::of)
        .orElseGet(List::of);
  }

  private synchronized List<TargetRun> keep(NodeName node, List<TargetRun> runs) {
    LeftRuns kept = keptByNode.get(node);
    if (kept == null) {
      if (runs.isEmpty()) {
        return List.of();
      }
      kept = new LeftRuns();
      keptByNode.put(node, kept);
      if (keptByNode.size() > MAX_NODES) {
        keptByNode.remove(keptByNode.keySet().iterator().next());
      }
    }
    runs.forEach(kept::add);
    return kept.list();
  }

  private static List<TargetRun> toRuns(List<LeftTargetRun> messages) {
    return messages.stream()
        .skip(Math.max(0, messages.size() - LeftRuns.MAX_RUNS))
        .map(message -> new TargetRun(message.getId(), message.getStartedMillis()))
        .toList();
  }

  private static LeftTargetRun toMessage(TargetRun run) {
    return LeftTargetRun.newBuilder().setId(run.id()).setStartedMillis(run.startedMillis()).build();
  }
}
