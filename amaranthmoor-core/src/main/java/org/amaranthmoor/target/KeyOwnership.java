package org.amaranthmoor.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.model.IdempotencyKey;

/**
 * Decides whether this member owns an idempotency key exclusively, so that its {@link KeyLedger}
 * alone tells whether the key's request has run.
 *
 * <p>Each key has one owner among the members that the log names, see {@link KeyOwners}. An owner
 * acts only while it holds a lease. Renewing the lease writes nothing: either this node has read
 * the log to its end and found no change of members, or every other member has confirmed that it
 * knows of none. After a change of members, a key that has moved to this member is exclusive only
 * if it was made after every older lease had expired. Two members therefore never both report a key
 * as exclusive, even if one of them was paused.
 *
 * <p>Invariant: if two instances report one key as {@link Status#EXCLUSIVE}, they are the same
 * member. Assumes that clocks differ by at most {@link KeyLedger#MAX_CLOCK_SKEW_MILLIS}. Safe for
 * use by several threads.
 */
public final class KeyOwnership {

  /** Duration of a lease, in milliseconds. */
  public static final long LEASE_MILLIS = 3_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Whether this member owns a key. */
  public enum Status {
    /** No other member can have run the key's request; the local ledger decides. */
    EXCLUSIVE,
    /** Another member owns the key, or this one holds no lease at present. */
    NOT_OWNER,
    /** This member owns the key now, but an earlier owner may have run its request. */
    UNCERTAIN
  }

  /** A set of members that was replaced, and the time of its replacement. */
  private record PastOwners(KeyOwners owners, long replacedAtMillis) {}

  private final KeyOwners.Member self;
  private final Deque<PastOwners> past = new ArrayDeque<>();
  private final Map<KeyOwners.Member, Long> confirmedAtNanos = new HashMap<>();
  private Optional<KeyOwners> current = Optional.empty();
  private long ownersUnknownUntilMillis;
  private long logReadAtNanos;
  private boolean logRead;
  private boolean evictionPending;
  // Whether other members may still confirm a set of members that lacks this one.
  private boolean joining = true;

  /**
   * Creates an ownership without any keys.
   *
   * @param self this member
   */
  public KeyOwnership(KeyOwners.Member self) {
    this.self = self;
  }

  /**
   * Applies the members of this target's service after one or more log records.
   *
   * @param owners the members
   * @param contiguous whether every record since the last call was applied; false after a
   *     checkpoint was loaded, which may skip changes of members
   * @param wallMillis the current wall-clock time
   */
  public synchronized void onMembers(KeyOwners owners, boolean contiguous, long wallMillis) {
    evictionPending = false;
    if (!contiguous || current.isEmpty()) {
      past.clear();
      joining = true;
    } else if (!current.get().equals(owners)) {
      past.addLast(new PastOwners(current.get(), wallMillis));
    }
    if (!owners.equals(current.orElse(null))) {
      confirmedAtNanos.clear();
      logRead = false;
      current = Optional.of(owners);
    }
    endJoining(wallMillis);
    forgetExpired(wallMillis);
  }

  // A member that lags behind in the log may still confirm an older set of members to an owner that
  // this member replaces. Older leases therefore count from the time at which all members have
  // confirmed the newer set.
  private void endJoining(long wallMillis) {
    if (joining && knownToAll()) {
      joining = false;
      ownersUnknownUntilMillis = wallMillis;
    }
  }

  private void forgetExpired(long wallMillis) {
    long oldest = wallMillis - KeyLedger.WINDOW_MILLIS - fenceMillis();
    Iterator<PastOwners> iterator = past.iterator();
    while (iterator.hasNext() && iterator.next().replacedAtMillis() < oldest) {
      iterator.remove();
    }
  }

  /**
   * Records that the log was read to its end and its records were applied.
   *
   * @param startedNanos when the reading started
   */
  public synchronized void onLogRead(long startedNanos) {
    logRead = true;
    logReadAtNanos = startedNanos;
  }

  /**
   * Records that a member confirmed a set of members.
   *
   * @param member the member that confirmed
   * @param fingerprint fingerprint of the set that it knows
   * @param requestedNanos when the confirmation was requested, in monotonic nanoseconds
   * @param wallMillis the current wall-clock time
   */
  public synchronized void onConfirmed(
      KeyOwners.Member member, long fingerprint, long requestedNanos, long wallMillis) {
    boolean sameSet = current.isPresent() && current.get().fingerprint() == fingerprint;
    if (sameSet && current.get().members().contains(member)) {
      confirmedAtNanos.put(member, requestedNanos);
      endJoining(wallMillis);
    }
  }

  /** Stops confirming until the log shows the result of an eviction that this node requested. */
  public synchronized void onEvictionRequested() {
    evictionPending = true;
  }

  /**
   * Returns whether this member confirms a set of members to another one.
   *
   * @param fingerprint fingerprint of the set that the other member knows
   * @return whether this member knows the same set and has no eviction request pending
   */
  public synchronized boolean confirms(long fingerprint) {
    return !evictionPending && current.isPresent() && current.get().fingerprint() == fingerprint;
  }

  /** {@return the members that this node knows, empty before the first call of onMembers} */
  public synchronized Optional<KeyOwners> current() {
    return current;
  }

  /**
   * Returns whether this member owns a key.
   *
   * @param key the key
   * @param nowNanos the current monotonic time
   * @return the status; a key may be claimed only if it is {@link Status#EXCLUSIVE}
   */
  public synchronized Status statusOf(IdempotencyKey key, long nowNanos) {
    if (current.isEmpty() || !ownsKey(current.get(), key) || !holdsLease(nowNanos)) {
      return Status.NOT_OWNER;
    }
    return ownedSinceCreation(key) ? Status.EXCLUSIVE : Status.UNCERTAIN;
  }

  private boolean ownsKey(KeyOwners owners, IdempotencyKey key) {
    return owners.ownerOf(key).filter(self::equals).isPresent();
  }

  private boolean ownedSinceCreation(IdempotencyKey key) {
    if (joining || ownersUnknownUntilMillis + fenceMillis() >= key.createdAtMillis()) {
      return false;
    }
    for (PastOwners set : past) {
      boolean mayHaveActed = set.replacedAtMillis() + fenceMillis() >= key.createdAtMillis();
      if (mayHaveActed && !ownsKey(set.owners(), key)) {
        return false;
      }
    }
    return true;
  }

  private boolean holdsLease(long nowNanos) {
    if (joining) {
      return false;
    }
    boolean byLog = logRead && isFresh(logReadAtNanos, nowNanos);
    return byLog || everyMemberConfirmed(nowNanos);
  }

  // Whether every other member has applied a set with this member; none of them can then renew a
  // lease on an older set without it.
  private boolean knownToAll() {
    int others = (int) current.get().members().stream().filter(m -> !m.equals(self)).count();
    return confirmedAtNanos.size() >= others;
  }

  /**
   * Returns whether every member that may hold an older lease needs this member to renew it.
   *
   * <p>Only an established member may evict others.
   *
   * @return whether all other members have confirmed a set that includes this member
   */
  public synchronized boolean established() {
    return !joining;
  }

  private boolean everyMemberConfirmed(long nowNanos) {
    int others = 0;
    for (KeyOwners.Member member : current.get().members()) {
      if (member.equals(self)) {
        continue;
      }
      others++;
      Long requestedNanos = confirmedAtNanos.get(member);
      if (requestedNanos == null || !isFresh(requestedNanos, nowNanos)) {
        return false;
      }
    }
    return others > 0;
  }

  private static boolean isFresh(long startedNanos, long nowNanos) {
    return nowNanos - startedNanos < LEASE_MILLIS * NANOS_PER_MILLI;
  }

  private static long fenceMillis() {
    return LEASE_MILLIS + 2 * KeyLedger.MAX_CLOCK_SKEW_MILLIS;
  }
}
