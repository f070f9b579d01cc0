package org.amaranthmoor.testkit.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.GossipTimings;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.protocol.node.Gossip;

/**
 * Runs the production membership of all nodes of a region in one thread and measures its cost and
 * how fast changes spread. Messages are encoded as on the network.
 *
 * <p>Simulated time advances in steps of 100 ms; a message arrives in the step after the one in
 * which it was sent. Confined to one thread.
 */
final class GossipBenchmark {

  private static final long STEP_NANOS = 100_000_000L;
  private static final int STEPS_PER_SECOND = 10;
  private static final int DATAGRAM_OVERHEAD_BYTES = 28;

  private final List<Membership> members = new ArrayList<>();
  private final Map<NodeName, Integer> index = new HashMap<>();
  private final Set<Integer> failed = new HashSet<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private Deque<Packet> inFlight = new ArrayDeque<>();
  private long nowNanos;
  private long bytes;
  private long messages;

  @SuppressWarnings("ArrayRecordComponent")
  private record Packet(int to, byte[] bytes) {}

  GossipBenchmark(int count) {
    List<Member> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Member member = member(i);
      all.add(member);
      index.put(member.node(), i);
    }
    for (int i = 0; i < count; i++) {
      Membership membership =
          new Membership(all.get(i), GossipTimings.standard(), random.split(), 0);
      all.forEach(membership::learn);
      members.add(membership);
    }
  }

  private static Member member(int i) {
    return new Member(
        new NodeName("node-" + i),
        new Incarnation(1),
        Member.Liveness.ALIVE,
        "10.0." + i / 250 + "." + i % 250,
        7000,
        new ZoneName("zone-" + i % 3),
        new RegionName("region"),
        false,
        0);
  }

  /** Average cost per node over a span of time. */
  record Cost(double bytesPerSecond, double messagesPerSecond, double cpuShare) {}

  Cost run(int seconds) {
    bytes = 0;
    messages = 0;
    long cpuBefore = cpuNanos();
    for (int i = 0; i < seconds * STEPS_PER_SECOND; i++) {
      step();
    }
    long cpu = cpuNanos() - cpuBefore;
    double nodes = members.size() - failed.size();
    // Each message is counted at its sender and at its receiver.
    return new Cost(
        2.0 * bytes / seconds / nodes,
        2.0 * messages / seconds / nodes,
        cpu / 1e9 / seconds / nodes);
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private void step() {
    nowNanos += STEP_NANOS;
    Deque<Packet> received = inFlight;
    inFlight = new ArrayDeque<>();
    for (Packet packet : received) {
      if (!failed.contains(packet.to())) {
        send(members.get(packet.to()).receive(parse(packet.bytes()), nowNanos));
      }
    }
    for (int i = 0; i < members.size(); i++) {
      if (!failed.contains(i)) {
        send(members.get(i).tick(nowNanos));
      }
    }
  }

  private static Gossip parse(byte[] bytes) {
    try {
      return Gossip.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "cannot decode a gossip message that the benchmark encoded itself", e);
    }
  }

  private void send(List<Membership.Outgoing> outgoing) {
    for (Membership.Outgoing message : outgoing) {
      byte[] encoded = message.message().toByteArray();
      bytes += encoded.length + DATAGRAM_OVERHEAD_BYTES;
      messages++;
      Integer to = index.get(message.to());
      if (to != null) {
        inFlight.addLast(new Packet(to, encoded));
      }
    }
  }

  /**
   * Fails some nodes and returns the seconds until all other nodes consider them dead; infinity if
   * that takes more than 120 s.
   */
  double secondsUntilDead(int first, int count) {
    for (int i = first; i < first + count; i++) {
      failed.add(i);
    }
    return secondsUntil(Member.Liveness.DEAD, first, count);
  }

  /**
   * Makes a node leave and returns the seconds until all nodes know it; infinity if that takes more
   * than 120 s.
   */
  double secondsUntilLeft(int node) {
    members.get(node).leave();
    return secondsUntil(Member.Liveness.LEFT, node, 1);
  }

  private double secondsUntil(Member.Liveness liveness, int first, int count) {
    for (int i = 0; i < 120 * STEPS_PER_SECOND; i++) {
      step();
      if (allKnow(liveness, first, count)) {
        return (i + 1.0) / STEPS_PER_SECOND;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  private boolean allKnow(Member.Liveness liveness, int first, int count) {
    List<NodeName> subjects = new ArrayList<>();
    for (int i = first; i < first + count; i++) {
      subjects.add(new NodeName("node-" + i));
    }
    for (int observer = 0; observer < members.size(); observer++) {
      if (failed.contains(observer)) {
        continue;
      }
      for (NodeName node : subjects) {
        if (members.get(observer).member(node).map(Member::liveness).orElse(liveness) != liveness) {
          return false;
        }
      }
    }
    return true;
  }

  /** {@return number of pairs of live nodes of which the first considers the second dead} */
  long falselyDead() {
    long count = 0;
    for (int observer = 0; observer < members.size(); observer++) {
      if (!failed.contains(observer)) {
        count +=
            members.get(observer).members().stream()
                .filter(m -> m.liveness() == Member.Liveness.DEAD)
                .filter(m -> !failed.contains(index.get(m.node())))
                .count();
      }
    }
    return count;
  }
}
