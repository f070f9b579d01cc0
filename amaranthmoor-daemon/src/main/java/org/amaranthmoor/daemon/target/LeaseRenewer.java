package org.amaranthmoor.daemon.target;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.daemon.node.NodeIdentity;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.platform.AnnouncedTarget;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.StateHolder;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.LeaseGrant;
import org.amaranthmoor.protocol.node.LeaseRequest;
import org.amaranthmoor.target.KeyOwners;
import org.amaranthmoor.target.KeyOwnership;

/**
 * Renews the lease of this target side as owner of idempotency keys, by asking the other members of
 * its service to confirm the set of members.
 *
 * <p>Called from one thread; the requests run on the executor's threads.
 */
public final class LeaseRenewer {

  private static final long TIMEOUT_MILLIS = 800;

  private final NodeIdentity identity;
  private final StateHolder holder;
  private final AtomicReference<KeyOwnership> ownership;
  private final PeerLinks links;
  private final ExecutorService executor;
  private final TimeSource time;

  /**
   * Creates a lease renewer.
   *
   * @param identity this node
   * @param holder provides the newest cluster state
   * @param ownership receives the confirmations
   * @param links carries the requests
   * @param executor runs the requests
   * @param time the clock
   */
  public LeaseRenewer(
      NodeIdentity identity,
      StateHolder holder,
      AtomicReference<KeyOwnership> ownership,
      PeerLinks links,
      ExecutorService executor,
      TimeSource time) {
    this.identity = identity;
    this.holder = holder;
    this.ownership = ownership;
    this.links = links;
    this.executor = executor;
    this.time = time;
  }

  /** Requests a confirmation from every other member once. */
  public void renewAll() {
    KeyOwnership current = ownership.get();
    Optional<KeyOwners> keyOwners = current.current();
    ClusterState state = holder.current();
    if (keyOwners.isEmpty()) {
      return;
    }
    for (KeyOwners.Member member : keyOwners.get().members()) {
      AnnouncedTarget announced = state.announcedTargets().get(member.node());
      boolean other = !member.node().equals(identity.node());
      if (other && announced != null && announced.incarnation().equals(member.incarnation())) {
        executor.execute(() -> requestLease(current, keyOwners.get(), member, announced));
      }
    }
  }

  private void requestLease(
      KeyOwnership renewing,
      KeyOwners keyOwners,
      KeyOwners.Member member,
      AnnouncedTarget announced) {
    long requestedNanos = time.nanos();
    PeerAddress address =
        new PeerAddress(
            announced.node(), announced.incarnation(), announced.host(), announced.port());
    Optional<Frame> reply =
        links.query(address, id -> request(id, keyOwners.fingerprint()), TIMEOUT_MILLIS);
    if (reply.isPresent() && isGrantOf(reply.get().getLeaseGrant(), member)) {
      renewing.onConfirmed(member, keyOwners.fingerprint(), requestedNanos, time.wallMillis());
    }
  }

  private static boolean isGrantOf(LeaseGrant grant, KeyOwners.Member member) {
    return grant.getGranted()
        && grant.getGranter().equals(member.node().value())
        && grant.getGranterIncarnation() == member.incarnation().value();
  }

  private Frame request(long query, long fingerprint) {
    LeaseRequest request =
        LeaseRequest.newBuilder()
            .setQuery(query)
            .setHolder(identity.node().value())
            .setIncarnation(identity.incarnation().value())
            .setFingerprint(fingerprint)
            .build();
    return Frame.newBuilder().setLeaseRequest(request).build();
  }
}
