package org.amaranthmoor.daemon.target;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.Collectors;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.RequestQuarantine;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.CrashCheckPolicy;
import org.amaranthmoor.target.SuspectRequest;
import org.amaranthmoor.target.Suspicion;
import org.amaranthmoor.target.TargetRun;

/**
 * Detects that the target's process has crashed, and records the requests that were in progress.
 *
 * <p>A connection may also break while the target runs on, so a broken exchange counts as a crash
 * only if the target's address then refuses connections; {@link CrashCheckPolicy} decides when to
 * check. The end of a run that is leaving is not a crash.
 *
 * <p>Invariant: each request in progress at a crash is recorded once, and before the first of them
 * gets its outcome unless its check is deferred. Safe for use by several threads.
 */
final class CrashDetector {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Longest time that the check for a listening process may take, in nanoseconds. */
  private static final long CHECK_TIMEOUT_NANOS = 250_000_000L;

  /** Largest number of broken exchanges that wait for one deferred check. */
  private static final int MAX_UNCHECKED = 64;

  /** A request in progress at the target. Compared by identity, as a request may be repeated. */
  static final class HandedOver {

    private final CallRequest request;
    private final LocalTarget.Destination destination;
    private final Suspicion suspicion;
    private final long startNanos;

    private HandedOver(
        CallRequest request,
        LocalTarget.Destination destination,
        Suspicion suspicion,
        long startNanos) {
      this.request = request;
      this.destination = destination;
      this.suspicion = suspicion;
      this.startNanos = startNanos;
    }

    LocalTarget.Destination destination() {
      return destination;
    }

    long startNanos() {
      return startNanos;
    }
  }

  private final LocalTarget localTarget;
  private final TargetConnectionPool connections;
  private final RequestQuarantine quarantine;
  private final CrashListener listener;
  private final TimeSource time;
  private final EventLog log;
  private final Set<HandedOver> inProgress = ConcurrentHashMap.newKeySet();
  private final Lock checkLock = new ReentrantLock();
  // The following are guarded by the lock.
  private final CrashCheckPolicy policy = new CrashCheckPolicy();
  // Requests whose exchanges wait for the deferred check.
  private final List<HandedOver> unchecked = new ArrayList<>();

  CrashDetector(
      LocalTarget localTarget,
      TargetConnectionPool connections,
      RequestQuarantine quarantine,
      CrashListener listener,
      TimeSource time,
      EventLog log) {
    this.localTarget = localTarget;
    this.connections = connections;
    this.quarantine = quarantine;
    this.listener = listener;
    this.time = time;
    this.log = log;
  }

  /** Describes a request that is to be handed over. */
  HandedOver createHandedOver(
      CallRequest request, LocalTarget.Destination destination, long startNanos) {
    return new HandedOver(request, destination, quarantine.suspicion(request), startNanos);
  }

  /** Records that a request is about to be written to the target; {@link #onEnd} follows. */
  void onHandOver(HandedOver request) {
    inProgress.add(request);
  }

  /** Records the end of the exchange of a request. */
  void onEnd(HandedOver request, TargetExchange.End end) {
    try {
      if (end.kind() == TargetExchange.Kind.BROKEN) {
        checkForCrash(request);
      }
    } finally {
      inProgress.remove(request);
    }
    if (end.isSuccess() && quarantine.onAnswered(request.request)) {
      log.warn(
          "quarantine-lifted",
          () -> "request=" + quarantine.fingerprint(request.request) + " cause=answered");
      listener.onQuarantineLifted();
    }
  }

  private void checkForCrash(HandedOver broken) {
    long brokenNanos = time.nanos();
    checkLock.lock();
    try {
      if (!inProgress.contains(broken)) {
        // Another broken exchange has found the crash.
        return;
      }
      boolean ended =
          policy.onBroken(broken.startNanos, brokenNanos) == CrashCheckPolicy.Decision.CHECK
              && checkFindsEnd(broken.destination);
      if (!ended) {
        deferCheck(broken);
      }
    } finally {
      checkLock.unlock();
    }
  }

  // Called with the lock held.
  private void deferCheck(HandedOver broken) {
    if (unchecked.isEmpty()) {
      Thread.startVirtualThread(this::checkLater);
    }
    if (unchecked.size() < MAX_UNCHECKED) {
      unchecked.add(broken);
    }
  }

  private void checkLater() {
    try {
      TimeUnit.NANOSECONDS.sleep(CrashCheckPolicy.CHECK_INTERVAL_NANOS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    checkLock.lock();
    try {
      if (!unchecked.isEmpty()) {
        checkFindsEnd(unchecked.getLast().destination);
      }
    } finally {
      // Otherwise no later check would be deferred again.
      unchecked.clear();
      checkLock.unlock();
    }
  }

  // Called with the lock held.
  private boolean checkFindsEnd(LocalTarget.Destination destination) {
    long startNanos = time.nanos();
    boolean refused = TargetConnection.isRefused(destination.address(), CHECK_TIMEOUT_NANOS);
    policy.onCheck(startNanos, !refused);
    if (refused) {
      onTargetEnded(destination);
      unchecked.clear();
    }
    return refused;
  }

  private void onTargetEnded(LocalTarget.Destination destination) {
    Set<HandedOver> found = new LinkedHashSet<>(unchecked);
    found.addAll(inProgress);
    List<HandedOver> ended =
        found.stream().filter(request -> request.destination.equals(destination)).toList();
    ended.forEach(inProgress::remove);
    // A request that is written to a connection of the ended process would count as handed over.
    localTarget.onConnectionRefused(time.nanos());
    connections.clear();
    boolean leaving = destination.run().map(localTarget::isLeaving).orElse(false);
    logEnd(destination, leaving, ended);
    if (!leaving) {
      List<SuspectRequest> suspects =
          ended.stream()
              .map(request -> quarantine.onCrash(request.request, request.suspicion))
              .toList();
      listener.onCrash(suspects);
    }
  }

  private void logEnd(
      LocalTarget.Destination destination, boolean leaving, List<HandedOver> ended) {
    long now = time.nanos();
    log.warn(
        "target-ended",
        () ->
            "run="
                + destination.run().map(TargetRun::id).orElse("")
                + " leaving="
                + leaving
                + " in-progress="
                + ended.stream()
                    .map(request -> describe(request, now))
                    .collect(Collectors.joining(",")));
  }

  private String describe(HandedOver handedOver, long nowNanos) {
    CallRequest request = handedOver.request;
    return request.id()
        + ":"
        + quarantine.fingerprint(request)
        + ":attempt-"
        + request.attempt()
        + ":crashes-before-"
        + handedOver.suspicion.crashes()
        + ":"
        + (nowNanos - handedOver.startNanos) / NANOS_PER_MILLI
        + "ms";
  }
}
