package org.amaranthmoor.daemon.operator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.TargetSpec;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.node.PeerQueryHandler;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.platform.AnnouncedTarget;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.StateHolder;
import org.amaranthmoor.platform.Verdict;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.ServiceCounts;
import org.amaranthmoor.protocol.node.StatusReply;
import org.amaranthmoor.protocol.node.StatusRequest;
import org.amaranthmoor.protocol.node.WindowCounts;
import org.amaranthmoor.report.BurnReport;
import org.amaranthmoor.report.CallCounts;

/**
 * Queries all reachable nodes for their status and combines the replies.
 *
 * <p>Safe for use by several threads. Collecting blocks the thread for about a second at most.
 */
public final class StatusCollector {

  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int MAX_NOTES = 20;

  private final NodeName self;
  private final StateHolder holder;
  private final Membership membership;
  private final PeerLinks links;
  private final PeerQueryHandler ownStatus;
  private final ExecutorService executor;

  /**
   * Creates a collector.
   *
   * @param self this node
   * @param holder provides the newest state
   * @param membership provides the members
   * @param links carries the queries
   * @param ownStatus provides the status of this node
   * @param executor runs the queries
   */
  public StatusCollector(
      NodeName self,
      StateHolder holder,
      Membership membership,
      PeerLinks links,
      PeerQueryHandler ownStatus,
      ExecutorService executor) {
    this.self = self;
    this.holder = holder;
    this.membership = membership;
    this.links = links;
    this.ownStatus = ownStatus;
    this.executor = executor;
  }

  /**
   * Collects the status.
   *
   * @param logAvailable whether the platform's log is available to this node
   * @return the status
   */
  public StatusView collect(boolean logAvailable) {
    ClusterState state = holder.current();
    Map<NodeName, StatusReply> replies = queryAll();
    return new StatusView(
        self.value(),
        state.offset(),
        logAvailable,
        notes(state, replies),
        state.services().values().stream().map(spec -> service(spec, state)).toList(),
        nodes(replies),
        burn(state, replies));
  }

  private Map<NodeName, StatusReply> queryAll() {
    List<Callable<Optional<StatusReply>>> queries = new ArrayList<>();
    for (Member member : membership.members()) {
      if (member.reachable()) {
        queries.add(() -> query(member));
      }
    }
    Map<NodeName, StatusReply> replies = new HashMap<>();
    try {
      for (Future<Optional<StatusReply>> future : executor.invokeAll(queries)) {
        future.get().ifPresent(reply -> replies.put(new NodeName(reply.getNode()), reply));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a status query failed with an exception", e);
    }
    return replies;
  }

  private Optional<StatusReply> query(Member member) {
    if (member.node().equals(self)) {
      return Optional.of(ownStatus.answerStatus(0).getStatusReply());
    }
    PeerAddress address =
        new PeerAddress(member.node(), member.incarnation(), member.host(), member.port());
    return links
        .query(
            address,
            id ->
                Frame.newBuilder()
                    .setStatusRequest(StatusRequest.newBuilder().setQuery(id))
                    .build(),
            TIMEOUT_MILLIS)
        .map(Frame::getStatusReply);
  }

  private List<StatusView.NoteStatus> notes(
      ClusterState state, Map<NodeName, StatusReply> replies) {
    List<Verdict> newestFirst = new ArrayList<>(state.verdicts());
    Collections.reverse(newestFirst);
    return newestFirst.stream().limit(MAX_NOTES).map(verdict -> note(verdict, replies)).toList();
  }

  private StatusView.NoteStatus note(Verdict verdict, Map<NodeName, StatusReply> replies) {
    List<String> reasons =
        switch (verdict) {
          case Verdict.Accepted accepted -> List.of();
          case Verdict.Refused refused ->
              refused.reasons().stream().map(reason -> reason.render()).toList();
        };
    List<String> lagging = new ArrayList<>();
    int inForce = 0;
    for (Member member : membership.members()) {
      StatusReply reply = replies.get(member.node());
      if (reply != null && reply.getConfigOffset() >= verdict.offset()) {
        inForce++;
      } else if (member.reachable()) {
        lagging.add(member.node().value());
      }
    }
    Collections.sort(lagging);
    String result = verdict instanceof Verdict.Accepted ? "accepted" : "refused";
    return new StatusView.NoteStatus(
        verdict.note().value(), verdict.offset(), result, reasons, inForce, lagging);
  }

  private StatusView.ServiceStatus service(ServiceSpec spec, ClusterState state) {
    List<StatusView.TargetStatus> targets =
        state.targets().values().stream()
            .filter(target -> target.service().equals(spec.name()))
            .map(target -> target(target, state))
            .toList();
    return new StatusView.ServiceStatus(spec.name().value(), spec.revision().value(), targets);
  }

  private StatusView.TargetStatus target(TargetSpec spec, ClusterState state) {
    Optional<AnnouncedTarget> announced =
        state.announcedTargets().values().stream()
            .filter(server -> server.target().equals(spec.name()))
            .findFirst();
    return new StatusView.TargetStatus(
        spec.name().value(),
        spec.revision().value(),
        announced.map(server -> server.node().value()).orElse(""),
        announced.map(server -> server.zone().value()).orElse(""),
        announced.map(this::targetState).orElse("not announced"));
  }

  private String targetState(AnnouncedTarget announced) {
    Optional<Member> member = membership.member(announced.node());
    if (member.isEmpty()) {
      return "announced";
    }
    if (!member.get().reachable()) {
      return "unreachable";
    }
    return member.get().draining() ? "draining" : "serving";
  }

  private List<StatusView.NodeStatus> nodes(Map<NodeName, StatusReply> replies) {
    return membership.members().stream()
        .sorted(java.util.Comparator.comparing(Member::node))
        .map(member -> node(member, replies))
        .toList();
  }

  private static StatusView.NodeStatus node(Member member, Map<NodeName, StatusReply> replies) {
    Optional<StatusReply> reply = Optional.ofNullable(replies.get(member.node()));
    return new StatusView.NodeStatus(
        member.node().value(),
        member.incarnation().toString(),
        member.zone().value(),
        reply.map(StatusReply::getConfigOffset).orElse(-1L),
        reply.map(StatusReply::getDigest).orElse(""),
        member.liveness().name().toLowerCase(Locale.ROOT),
        reply.map(r -> r.getLoad().getInFlight()).orElse(0),
        reply.map(r -> r.getLoad().getQueued()).orElse(0));
  }

  private static BurnReport burn(ClusterState state, Map<NodeName, StatusReply> replies) {
    Map<String, Map<Integer, CallCounts.Window>> sums = new HashMap<>();
    for (StatusReply reply : replies.values()) {
      for (ServiceCounts counts : reply.getServicesList()) {
        Map<Integer, CallCounts.Window> windows =
            sums.computeIfAbsent(counts.getService(), name -> new HashMap<>());
        counts.getWindowsList().forEach(window -> add(windows, window));
      }
    }
    return new BurnReport(
        state.services().values().stream()
            .map(spec -> BurnReport.of(spec, windows(sums.get(spec.name().value()))))
            .toList());
  }

  private static void add(Map<Integer, CallCounts.Window> windows, WindowCounts window) {
    windows.merge(
        window.getMinutes(),
        new CallCounts.Window(
            window.getMinutes(), window.getTotal(), window.getFailed(), window.getSlow()),
        CallCounts.Window::plus);
  }

  private static List<CallCounts.Window> windows(Map<Integer, CallCounts.Window> sums) {
    Map<Integer, CallCounts.Window> known = sums == null ? Map.of() : sums;
    return BurnReport.WINDOW_MINUTES.stream()
        .map(minutes -> known.getOrDefault(minutes, new CallCounts.Window(minutes, 0, 0, 0)))
        .toList();
  }
}
