package org.amaranthmoor.daemon.node;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.daemon.caller.RoutingSnapshot;
import org.amaranthmoor.daemon.caller.RoutingSnapshots;
import org.amaranthmoor.daemon.caller.ServiceSnapshot;
import org.amaranthmoor.daemon.settings.NodeSettings;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.platform.CheckpointCodec;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.StateHolder;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.LeaseRequest;
import org.amaranthmoor.protocol.node.QuotaReply;
import org.amaranthmoor.protocol.node.QuotaRequest;
import org.amaranthmoor.protocol.node.ServiceCounts;
import org.amaranthmoor.protocol.node.StateRequest;
import org.amaranthmoor.protocol.node.StatusReply;
import org.amaranthmoor.protocol.node.WindowCounts;
import org.amaranthmoor.report.BurnReport;
import org.amaranthmoor.report.CallCounts;
import org.amaranthmoor.target.KeyOwnership;

/**
 * Answers queries from the state of this node.
 *
 * <p>Safe for use by several threads.
 */
public final class NodeQueryHandler implements PeerQueryHandler {

  private final NodeSettings settings;
  private final NodeIdentity identity;
  private final StateHolder holder;
  private final AtomicReference<KeyOwnership> ownership;
  private final TargetSide targetSide;
  private final RoutingSnapshots views;
  private final TimeSource time;

  /**
   * Creates a handler.
   *
   * @param settings settings of this node
   * @param identity this node
   * @param holder provides the newest cluster state
   * @param ownership provides the members of this target's service
   * @param targetSide provides the load
   * @param views provides the counts of calls
   * @param time the clock
   */
  public NodeQueryHandler(
      NodeSettings settings,
      NodeIdentity identity,
      StateHolder holder,
      AtomicReference<KeyOwnership> ownership,
      TargetSide targetSide,
      RoutingSnapshots views,
      TimeSource time) {
    this.settings = settings;
    this.identity = identity;
    this.holder = holder;
    this.ownership = ownership;
    this.targetSide = targetSide;
    this.views = views;
    this.time = time;
  }

  @Override
  public Frame answerLease(LeaseRequest request) {
    boolean granted = ownership.get().confirms(request.getFingerprint());
    return QueryFrames.leaseGrant(request.getQuery(), identity, granted);
  }

  @Override
  public List<Frame> answerState(StateRequest request) {
    ClusterState state = holder.current();
    byte[] bytes =
        state.offset() > request.getHaveOffset()
            ? CheckpointCodec.write(state, identity.node(), 0)
            : new byte[0];
    return QueryFrames.stateReply(request.getQuery(), bytes);
  }

  @Override
  public Frame answerStatus(long query) {
    ClusterState state = holder.current();
    StatusReply.Builder reply =
        QueryFrames.statusReply(
                query,
                identity,
                views.current().map(RoutingSnapshot::offset).orElse(-1L),
                targetSide.load(),
                settings.target().name().value(),
                settings.zone())
            .setDigest(CheckpointCodec.digest(state));
    views
        .current()
        .ifPresent(view -> view.services().values().forEach(v -> reply.addServices(counts(v))));
    return Frame.newBuilder().setStatusReply(reply).build();
  }

  // Release notes state no quotas, so that this node owns none.
  @Override
  public Frame answerQuota(QuotaRequest request) {
    return Frame.newBuilder()
        .setQuotaReply(QuotaReply.newBuilder().setQuery(request.getQuery()))
        .build();
  }

  private ServiceCounts counts(ServiceSnapshot view) {
    ServiceCounts.Builder counts =
        ServiceCounts.newBuilder().setService(view.spec().name().value());
    for (int minutes : BurnReport.WINDOW_MINUTES) {
      CallCounts.Window window = view.counts().window(minutes, time.wallMillis());
      counts.addWindows(
          WindowCounts.newBuilder()
              .setMinutes(minutes)
              .setTotal(window.total())
              .setFailed(window.failed())
              .setSlow(window.slow()));
    }
    return counts.build();
  }
}
