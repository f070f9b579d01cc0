package org.amaranthmoor.daemon.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RequestFingerprint;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.protocol.node.Gossip;
import org.amaranthmoor.protocol.node.RequestSuspicion;
import org.amaranthmoor.target.CrashLedger;
import org.amaranthmoor.target.SuspectRequest;
import org.amaranthmoor.target.Suspicion;

/**
 * Exchanges suspicions against requests with other nodes by gossip.
 *
 * <p>The node that records a crash sends the suspicions to all members at once. Each message
 * carries a hash of the sender's suspicions; a receiver whose hash differs sends its own, so that a
 * node that has just started or was cut off learns them with its first messages. Such a reply is
 * never answered with another one. Safe for use by several threads.
 */
public final class SuspicionExchange {

  /** Largest number of suspicions in a message, so that it fits into a datagram. */
  static final int SUSPICIONS_PER_MESSAGE = 24;

  private final CrashLedger ledger;
  private final Membership membership;
  private final TimeSource time;
  private final EventLog log;

  /**
   * Creates an exchange.
   *
   * @param ledger the suspicions of this node
   * @param membership the members
   * @param time the clock
   * @param log receives changes of the quarantine
   */
  public SuspicionExchange(
      CrashLedger ledger, Membership membership, TimeSource time, EventLog log) {
    this.ledger = ledger;
    this.membership = membership;
    this.time = time;
    this.log = log;
  }

  /** Updates the hash that messages carry. Called after each change, and at intervals. */
  public void refresh() {
    membership.setSuspicionsHash(ledger.hash(time.nanos()));
  }

  /**
   * Creates messages that carry new suspicions to all members.
   *
   * @param suspects the suspects
   * @return messages to send
   */
  public List<Membership.Outgoing> announcements(List<SuspectRequest> suspects) {
    refresh();
    List<Membership.Outgoing> messages = new ArrayList<>();
    for (int from = 0; from < suspects.size(); from += SUSPICIONS_PER_MESSAGE) {
      int to = Math.min(suspects.size(), from + SUSPICIONS_PER_MESSAGE);
      messages.addAll(membership.suspicionAnnouncements(toMessages(suspects.subList(from, to))));
    }
    return messages;
  }

  /**
   * Handles the suspicions of a message from another node.
   *
   * @param gossip the message
   * @return messages to send
   */
  List<Membership.Outgoing> receive(Gossip gossip) {
    if (!gossip.hasSuspicionsHash() || !Names.isName(gossip.getSender())) {
      return List.of();
    }
    merge(gossip.getSuspicionsList(), gossip.getSender());
    boolean isReply = gossip.getSuspicionsCount() > 0;
    long now = time.nanos();
    if (isReply || gossip.getSuspicionsHash() == ledger.hash(now)) {
      return List.of();
    }
    List<SuspectRequest> known = ledger.suspects(SUSPICIONS_PER_MESSAGE, now);
    return known.isEmpty()
        ? List.of()
        : membership
            .suspicionReply(new NodeName(gossip.getSender()), toMessages(known))
            .map(List::of)
            .orElseGet(List::of);
  }

  /**
   * Handles the suspicion that a request from another node carries, so that it is known before the
   * request is handed over even if the message of the crash was lost or is late.
   *
   * @param suspicion the suspicion
   * @param sender the node that sent the request
   */
  void receive(RequestSuspicion suspicion, String sender) {
    merge(List.of(suspicion), sender);
  }

  private void merge(List<RequestSuspicion> messages, String sender) {
    List<SuspectRequest> received =
        messages.stream().map(SuspicionExchange::toSuspect).flatMap(Optional::stream).toList();
    if (received.isEmpty()) {
      return;
    }
    int before = ledger.quarantinedCount(time.nanos());
    if (ledger.merge(received, time.nanos())) {
      refresh();
      logChange(before, sender);
    }
  }

  private void logChange(int quarantinedBefore, String sender) {
    int quarantined = ledger.quarantinedCount(time.nanos());
    if (quarantined != quarantinedBefore) {
      log.warn("quarantine", () -> "requests=" + quarantined + " source=" + sender);
    }
  }

  private static Optional<SuspectRequest> toSuspect(RequestSuspicion message) {
    // Unsigned in the message, so a number may appear negative.
    boolean valid =
        message.getClearances() >= 0 && message.getCrashes() >= 0 && message.getAgeMillis() >= 0;
    return valid
        ? Optional.of(
            new SuspectRequest(
                new RequestFingerprint(message.getFingerprintHigh(), message.getFingerprintLow()),
                new Suspicion(message.getClearances(), message.getCrashes()),
                message.getAgeMillis()))
        : Optional.empty();
  }

  private static List<RequestSuspicion> toMessages(List<SuspectRequest> suspects) {
    return suspects.stream().map(SuspicionExchange::toMessage).toList();
  }

  static RequestSuspicion toMessage(SuspectRequest suspect) {
    return RequestSuspicion.newBuilder()
        .setFingerprintHigh(suspect.fingerprint().high())
        .setFingerprintLow(suspect.fingerprint().low())
        .setClearances(suspect.suspicion().clearances())
        .setCrashes(suspect.suspicion().crashes())
        .setAgeMillis(suspect.ageMillis())
        .build();
  }
}
