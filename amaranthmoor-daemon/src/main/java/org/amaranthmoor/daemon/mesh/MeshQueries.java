package org.amaranthmoor.daemon.mesh;

import java.util.List;
import java.util.Optional;
import org.amaranthmoor.daemon.caller.EntryView;
import org.amaranthmoor.daemon.caller.EntryViews;
import org.amaranthmoor.daemon.node.NodeIdentity;
import org.amaranthmoor.daemon.node.PeerQueryHandler;
import org.amaranthmoor.daemon.node.QueryFrames;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.LeaseRequest;
import org.amaranthmoor.protocol.node.StateRequest;
import org.amaranthmoor.protocol.node.StatusReply;

/**
 * Answers other nodes' queries from what this node holds.
 *
 * <p>Safe for use by several threads.
 */
final class MeshQueries implements PeerQueryHandler {

  private final MeshSettings settings;
  private final NodeIdentity identity;
  private final ConfigHolder config;
  private final TargetSide targetSide;
  private final EntryViews views;

  MeshQueries(
      MeshSettings settings,
      NodeIdentity identity,
      ConfigHolder config,
      TargetSide targetSide,
      EntryViews views) {
    this.settings = settings;
    this.identity = identity;
    this.config = config;
    this.targetSide = targetSide;
    this.views = views;
  }

  // Nobody claims idempotency keys here, so nobody asks for confirmations.
  @Override
  public Frame answerLease(LeaseRequest request) {
    return QueryFrames.leaseGrant(request.getQuery(), identity, false);
  }

  @Override
  public List<Frame> answerState(StateRequest request) {
    Optional<RoutingConfig> newer =
        config.current().filter(held -> held.version() > request.getHaveOffset());
    byte[] document = newer.map(held -> PackedDocument.pack(held.document())).orElse(new byte[0]);
    return QueryFrames.stateReply(request.getQuery(), document);
  }

  @Override
  public Frame answerStatus(long query) {
    long version = views.current().map(EntryView::offset).orElse(-1L);
    StatusReply.Builder reply =
        QueryFrames.statusReply(
            query, identity, version, targetSide.load(), settings.node().value(), settings.zone());
    return Frame.newBuilder().setStatusReply(reply).build();
  }
}
