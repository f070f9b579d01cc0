package org.amaranthmoor.daemon.mesh;

import java.util.List;
import java.util.Optional;
import org.amaranthmoor.daemon.caller.RoutingSnapshot;
import org.amaranthmoor.daemon.caller.RoutingSnapshots;
import org.amaranthmoor.daemon.node.NodeIdentity;
import org.amaranthmoor.daemon.node.PeerQueryHandler;
import org.amaranthmoor.daemon.node.QueryFrames;
import org.amaranthmoor.daemon.quota.QuotaService;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.LeaseRequest;
import org.amaranthmoor.protocol.node.QuotaRequest;
import org.amaranthmoor.protocol.node.StateRequest;
import org.amaranthmoor.protocol.node.StatusReply;

/**
 * Answers queries of other nodes from the state of this node.
 *
 * <p>Safe for use by several threads.
 */
final class MeshQueries implements PeerQueryHandler {

  private final MeshSettings settings;
  private final NodeIdentity identity;
  private final ConfigHolder configHolder;
  private final TargetSide targetSide;
  private final RoutingSnapshots views;
  private final QuotaService quotas;

  MeshQueries(
      MeshSettings settings,
      NodeIdentity identity,
      ConfigHolder configHolder,
      TargetSide targetSide,
      RoutingSnapshots views,
      QuotaService quotas) {
    this.settings = settings;
    this.identity = identity;
    this.configHolder = configHolder;
    this.targetSide = targetSide;
    this.views = views;
    this.quotas = quotas;
  }

  // Nodes of a mesh claim no idempotency keys, so no lease is ever requested or granted.
  @Override
  public Frame answerLease(LeaseRequest request) {
    return QueryFrames.leaseGrant(request.getQuery(), identity, false);
  }

  @Override
  public List<Frame> answerState(StateRequest request) {
    Optional<RoutingConfig> newer =
        configHolder.current().filter(config -> config.version() > request.getHaveOffset());
    byte[] document =
        newer.map(config -> CompressedDocument.compress(config.document())).orElse(new byte[0]);
    return QueryFrames.stateReply(request.getQuery(), document);
  }

  @Override
  public Frame answerStatus(long query) {
    long version = views.current().map(RoutingSnapshot::offset).orElse(-1L);
    StatusReply.Builder reply =
        QueryFrames.statusReply(
            query, identity, version, targetSide.load(), settings.node().value(), settings.zone());
    return Frame.newBuilder().setStatusReply(reply).build();
  }

  @Override
  public Frame answerQuota(QuotaRequest request) {
    return Frame.newBuilder().setQuotaReply(quotas.answer(request)).build();
  }
}
