package org.amaranthmoor.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.model.IdempotencyKey;

/**
 * Decides whether this target side may vouch that a key was never run before.
 *
 * <p>Each key has one home, found by rendezvous hashing over the members that the log names. A home
 * vouches only under a lease, which is renewed without writing anything: either this node has read
 * the log to its end and found no change of members, or every other member has confirmed that it
 * knows of none. A member that learns of a change vouches only for keys made after every older
 * lease has run out. So two owners never vouch for one key, even if one of them was paused.
 *
 * <p>Invariant: if two instances vouch for one key, they are the same member. Assumes that clocks
 * differ by at most {@link KeyLedger#MAX_CLOCK_SKEW_MILLIS}. Safe for use by several threads.
 */
public final class KeyOwnership {

  /** Time for which a lease holds, in milliseconds. */
  public static final long LEASE_MILLIS = 3_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Whether a key may be claimed here. */
  public enum Status {
    /** No other home can have run the key; the ledger here decides. */
    EXCLUSIVE,
    /** Another member is the home, or this one holds no lease at present. */
    NOT_OWNER,
    /** An earlier home may have run the key. */
    UNCERTAIN
  }

  /** One set of members and the time from which another one replaced it. */
  private record PastOwners(KeyOwners owners, long replacedAtMillis) {}

  private final KeyOwners.Member self;
  private final Deque<PastOwners> past = new ArrayDeque<>();
  private final Map<KeyOwners.Member, Long> confirmedAtNanos = new HashMap<>();
  private Optional<KeyOwners> current = Optional.empty();
  private long unknownUntilMillis;
  private long logReadAtNanos;
  private boolean logRead;
  private boolean evictionPending;
  // Whether other members may still confirm sets that lack this member.
  private boolean joining = true;

  /**
   * Creates an ownership that vouches for nothing yet.
   *
   * @param self this member
   */
  public KeyOwnership(KeyOwners.Member self) {
    this.self = self;
  }

  /**
   * Takes in the members of this target's service after one or more log records.
   *
   * @param owners the members
   * @param contiguous whether every record since the last call was folded one by one
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
    forgetLapsed(wallMillis);
  }

  // A member that lags behind may confirm an older set to a home that this one replaces, until it
  // has taken the newer set in. So older leases are counted from the confirmations on.
  private void endJoining(long wallMillis) {
    if (joining && knownToAll()) {
      joining = false;
      unknownUntilMillis = wallMillis;
    }
  }

  private void forgetLapsed(long wallMillis) {
    long oldest = wallMillis - KeyLedger.WINDOW_MILLIS - fenceMillis();
    Iterator<PastOwners> iterator = past.iterator();
    while (iterator.hasNext() && iterator.next().replacedAtMillis() < oldest) {
      iterator.remove();
    }
  }

  /**
   * Records that the log was read to its end and the result was taken in.
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
   * @param fingerprint fingerprint of the set it knows
   * @param askedNanos when it was asked
   * @param wallMillis the current wall-clock time
   */
  public synchronized void onConfirmed(
      KeyOwners.Member member, long fingerprint, long askedNanos, long wallMillis) {
    boolean sameSet = current.isPresent() && current.get().fingerprint() == fingerprint;
    if (sameSet && current.get().members().contains(member)) {
      confirmedAtNanos.put(member, askedNanos);
      endJoining(wallMillis);
    }
  }

  /** Stops confirming until the log shows what became of an eviction this node asked for. */
  public synchronized void onEvictionRequested() {
    evictionPending = true;
  }

  /**
   * Answers another member that asks for confirmation.
   *
   * @param fingerprint fingerprint of the set that the asking member knows
   * @return whether this member knows the same set and no change is under way
   */
  public synchronized boolean confirms(long fingerprint) {
    return !evictionPending && current.isPresent() && current.get().fingerprint() == fingerprint;
  }

  /** {@return the members this node knows, empty before the first state} */
  public synchronized Optional<KeyOwners> current() {
    return current;
  }

  /**
   * Decides whether a key may be claimed here.
   *
   * @param key the key
   * @param nowNanos the current monotonic time
   * @return the decision
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
    if (joining || unknownUntilMillis + fenceMillis() >= key.madeAtMillis()) {
      return false;
    }
    for (PastOwners set : past) {
      boolean mayHaveActed = set.replacedAtMillis() + fenceMillis() >= key.madeAtMillis();
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

  // Every other member has taken in a set with this member, so none of them can renew a lease on an
  // older set without it.
  private boolean knownToAll() {
    int others = (int) current.get().members().stream().filter(m -> !m.equals(self)).count();
    return confirmedAtNanos.size() >= others;
  }

  /**
   * Returns whether every member that may hold an older lease needs this one to renew it.
   *
   * <p>Only an established member may evict others.
   *
   * @return whether all other members have confirmed a set with this member
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
      Long askedNanos = confirmedAtNanos.get(member);
      if (askedNanos == null || !isFresh(askedNanos, nowNanos)) {
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
