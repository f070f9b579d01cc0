package org.amaranthmoor.target;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.amaranthmoor.model.RequestFingerprint;

/**
 * Remembers which requests were in progress at targets that crashed, and quarantines a request that
 * was at {@link #QUARANTINE_CRASHES} crashes in turn.
 *
 * <p>Most requests that are in progress at a crash are not its cause. Invariants: a crash adds to
 * an earlier one only if the request was handed over after that one was known, so that targets that
 * crash together count as one; a request that a target has answered is cleared, whether it was
 * quarantined or not. A quarantine ends after a time, which is longer after a further crash, so
 * that a request that was wrongly suspected is handed over again. Ledgers that have merged each
 * other's contents agree. At most {@link #MAX_REQUESTS} requests are kept, each for {@link
 * #RETENTION_NANOS} after its last change.
 *
 * <p>Safe for use by several threads. While nothing is suspected, lookups take no lock and compute
 * no fingerprint.
 */
public final class CrashLedger {

  /** Number of crashes in turn from which a request is handed over to no more targets. */
  public static final int QUARANTINE_CRASHES = 3;

  /** Largest number of requests; those with the fewest crashes are dropped first. */
  static final int MAX_REQUESTS = 512;

  /** Time for which a request is remembered after the last change, in nanoseconds. */
  static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Length of the first quarantine of a request, in nanoseconds. */
  static final long FIRST_QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(5);

  /** Largest number of times that the length of a quarantine is doubled. */
  private static final int MAX_DOUBLINGS = 1;

  private record Entry(Suspicion suspicion, long changedNanos, boolean wasQuarantined) {

    boolean reachesQuarantine() {
      return suspicion.crashes() >= QUARANTINE_CRASHES;
    }

    long quarantineLeftNanos(long nowNanos) {
      if (!reachesQuarantine()) {
        return 0;
      }
      int doublings = Math.min(MAX_DOUBLINGS, suspicion.crashes() - QUARANTINE_CRASHES);
      return Math.max(0, changedNanos + (FIRST_QUARANTINE_NANOS << doublings) - nowNanos);
    }
  }

  private static final Comparator<Map.Entry<RequestFingerprint, Entry>> MOST_CRASHES_FIRST =
      Comparator.comparingInt(
              (Map.Entry<RequestFingerprint, Entry> entry) ->
                  -entry.getValue().suspicion().crashes())
          .thenComparingLong(entry -> -entry.getValue().changedNanos());

  private final Map<RequestFingerprint, Entry> entries = new HashMap<>();
  private long hash;
  // Written under the lock, read without it.
  private volatile Set<Integer> pathHashes = Set.of();

  /** Creates an empty ledger. */
  public CrashLedger() {}

  /**
   * Returns the suspicion against a request.
   *
   * @param path the path of the request, with its query
   * @param fingerprint computes the fingerprint of the request; called only if the path is that of
   *     a suspect
   * @param nowNanos the current time
   * @return the suspicion
   */
  public Suspicion suspicion(String path, Supplier<RequestFingerprint> fingerprint, long nowNanos) {
    return find(path, fingerprint, nowNanos)
        .map(found -> found.getValue().suspicion())
        .orElse(Suspicion.NONE);
  }

  private Optional<Map.Entry<RequestFingerprint, Entry>> find(
      String path, Supplier<RequestFingerprint> fingerprint, long nowNanos) {
    if (!pathHashes.contains(path.hashCode())) {
      return Optional.empty();
    }
    RequestFingerprint computed = fingerprint.get();
    synchronized (this) {
      removeExpired(nowNanos);
      return Optional.ofNullable(entries.get(computed)).map(entry -> Map.entry(computed, entry));
    }
  }

  /**
   * Returns a request as it is passed on to another node.
   *
   * @param path the path of the request, with its query
   * @param fingerprint computes the fingerprint of the request; called only if the path is that of
   *     a suspect
   * @param nowNanos the current time
   * @return the request with the suspicion against it, or empty if nothing is known of it
   */
  public Optional<SuspectRequest> suspect(
      String path, Supplier<RequestFingerprint> fingerprint, long nowNanos) {
    return find(path, fingerprint, nowNanos)
        .map(found -> toSuspect(found.getKey(), found.getValue(), nowNanos));
  }

  /**
   * Returns for how long a request is still quarantined.
   *
   * @param path the path of the request, with its query
   * @param fingerprint computes the fingerprint of the request; called only if the path is that of
   *     a suspect
   * @param nowNanos the current time
   * @return the time in milliseconds, or empty if the request may be handed over
   */
  public OptionalLong quarantineLeftMillis(
      String path, Supplier<RequestFingerprint> fingerprint, long nowNanos) {
    return find(path, fingerprint, nowNanos)
        .map(found -> found.getValue().quarantineLeftNanos(nowNanos))
        .filter(leftNanos -> leftNanos > 0)
        .map(leftNanos -> OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(leftNanos)))
        .orElseGet(OptionalLong::empty);
  }

  /**
   * Records that a target crashed with a request in progress.
   *
   * @param fingerprint the fingerprint of the request
   * @param atHandOver the suspicion against it when it was handed over to the target
   * @param nowNanos the current time
   * @return the request with its new suspicion
   */
  public synchronized SuspectRequest onCrash(
      RequestFingerprint fingerprint, Suspicion atHandOver, long nowNanos) {
    Entry before = entries.get(fingerprint);
    Suspicion known = before == null ? Suspicion.NONE : before.suspicion();
    Suspicion after = known.afterCrash(atHandOver);
    if (after.compareTo(known) > 0) {
      put(fingerprint, after, nowNanos);
      trim(nowNanos);
    }
    return new SuspectRequest(fingerprint, after, 0);
  }

  /**
   * Records that a target has answered a request, which clears it.
   *
   * @param path the path of the request, with its query
   * @param fingerprint computes the fingerprint of the request; called only if the path is that of
   *     a suspect
   * @param nowNanos the current time
   * @return whether the request was quarantined before
   */
  public boolean onAnswered(String path, Supplier<RequestFingerprint> fingerprint, long nowNanos) {
    if (!pathHashes.contains(path.hashCode())) {
      return false;
    }
    RequestFingerprint computed = fingerprint.get();
    synchronized (this) {
      Entry entry = entries.get(computed);
      if (entry == null || entry.suspicion().crashes() == 0) {
        return false;
      }
      put(computed, entry.suspicion().cleared(), nowNanos);
      return entry.reachesQuarantine();
    }
  }

  /**
   * Merges the suspicions of another node; the later suspicion against a request applies.
   *
   * @param suspects the requests that the other node suspects or has cleared
   * @param nowNanos the current time
   * @return whether this ledger has changed
   */
  public synchronized boolean merge(Collection<SuspectRequest> suspects, long nowNanos) {
    long before = hash;
    for (SuspectRequest suspect : suspects) {
      long changedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(suspect.ageMillis());
      Entry entry = entries.get(suspect.fingerprint());
      Suspicion known = entry == null ? Suspicion.NONE : entry.suspicion();
      boolean current = suspect.ageMillis() >= 0 && !isExpired(changedNanos, nowNanos);
      if (current && suspect.suspicion().compareTo(known) > 0) {
        put(suspect.fingerprint(), suspect.suspicion(), changedNanos);
      }
    }
    trim(nowNanos);
    return hash != before;
  }

  private void put(RequestFingerprint fingerprint, Suspicion suspicion, long changedNanos) {
    Entry before = entries.get(fingerprint);
    boolean wasQuarantined =
        before != null && (before.wasQuarantined() || before.reachesQuarantine());
    entries.put(fingerprint, new Entry(suspicion, changedNanos, wasQuarantined));
    if (before != null) {
      hash ^= hashOf(fingerprint, before.suspicion());
    }
    hash ^= hashOf(fingerprint, suspicion);
    updatePathHashes();
  }

  private void remove(RequestFingerprint fingerprint) {
    Entry removed = entries.remove(fingerprint);
    hash ^= hashOf(fingerprint, removed.suspicion());
  }

  private void updatePathHashes() {
    pathHashes =
        entries.keySet().stream()
            .map(RequestFingerprint::pathHash)
            .collect(Collectors.toUnmodifiableSet());
  }

  private static long hashOf(RequestFingerprint fingerprint, Suspicion suspicion) {
    long factor = 0x9E3779B97F4A7C15L;
    long mixed = fingerprint.high() * factor + fingerprint.low();
    mixed = (mixed ^ (mixed >>> 32)) * factor + suspicion.clearances();
    mixed = (mixed ^ (mixed >>> 32)) * factor + suspicion.crashes();
    return mixed ^ (mixed >>> 29);
  }

  private void trim(long nowNanos) {
    removeExpired(nowNanos);
    if (entries.size() > MAX_REQUESTS) {
      entries.entrySet().stream()
          .sorted(MOST_CRASHES_FIRST)
          .skip(MAX_REQUESTS)
          .map(Map.Entry::getKey)
          .toList()
          .forEach(this::remove);
      updatePathHashes();
    }
  }

  private void removeExpired(long nowNanos) {
    if (entries.isEmpty()) {
      return;
    }
    List<RequestFingerprint> expired =
        entries.entrySet().stream()
            .filter(entry -> isExpired(entry.getValue().changedNanos(), nowNanos))
            .map(Map.Entry::getKey)
            .toList();
    if (!expired.isEmpty()) {
      expired.forEach(this::remove);
      updatePathHashes();
    }
  }

  private static boolean isExpired(long changedNanos, long nowNanos) {
    return nowNanos - changedNanos >= RETENTION_NANOS;
  }

  /**
   * Returns the requests that are or were suspected, those with the most crashes first.
   *
   * @param limit largest number of requests
   * @param nowNanos the current time
   * @return the requests
   */
  public synchronized List<SuspectRequest> suspects(int limit, long nowNanos) {
    removeExpired(nowNanos);
    return entries.entrySet().stream()
        .sorted(MOST_CRASHES_FIRST)
        .limit(limit)
        .map(entry -> toSuspect(entry.getKey(), entry.getValue(), nowNanos))
        .toList();
  }

  /**
   * Returns the requests that a restart of all nodes must not forget: those that are quarantined,
   * and those that were until they were cleared.
   *
   * @param limit largest number of requests
   * @param nowNanos the current time
   * @return the requests, the latest change first
   */
  public synchronized List<SuspectRequest> quarantineHistory(int limit, long nowNanos) {
    removeExpired(nowNanos);
    return entries.entrySet().stream()
        .filter(entry -> entry.getValue().reachesQuarantine() || entry.getValue().wasQuarantined())
        .sorted(Comparator.comparingLong(entry -> nowNanos - entry.getValue().changedNanos()))
        .limit(limit)
        .map(entry -> toSuspect(entry.getKey(), entry.getValue(), nowNanos))
        .toList();
  }

  private static SuspectRequest toSuspect(
      RequestFingerprint fingerprint, Entry entry, long nowNanos) {
    long ageNanos = Math.max(0, nowNanos - entry.changedNanos());
    return new SuspectRequest(
        fingerprint, entry.suspicion(), TimeUnit.NANOSECONDS.toMillis(ageNanos));
  }

  /**
   * Returns the number of quarantined requests.
   *
   * @param nowNanos the current time
   * @return the number
   */
  public synchronized int quarantinedCount(long nowNanos) {
    return (int)
        entries.values().stream().filter(entry -> entry.quarantineLeftNanos(nowNanos) > 0).count();
  }

  /**
   * Returns a hash of all suspicions; ledgers that agree have equal hashes.
   *
   * @param nowNanos the current time
   * @return the hash, 0 if nothing is suspected
   */
  public synchronized long hash(long nowNanos) {
    removeExpired(nowNanos);
    return hash;
  }
}
