package org.amaranthmoor.connection;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthmoor.model.ByteBudget;

/**
 * The account of the memory that unfinished requests hold beyond what each connection may use.
 *
 * <p>Memory is acquired before it is used. A request that finds no room makes room for itself: the
 * requests that progress least are closed, but none that runs at a target. Until they have ended,
 * the acquisition fails and may be repeated.
 *
 * <p>Invariants: requests that have not been handed over, and those whose body is incomplete, hold
 * at most half of the budget, so that they alone never keep a node from taking further requests;
 * each request releases what it acquired exactly once. Safe for use by several threads.
 */
public final class UnfinishedRequests {

  /** Time after a search in which no other is made, as it looks at all requests, in nanoseconds. */
  private static final long SEARCH_INTERVAL_NANOS = 20_000_000L;

  private static final long NEVER = Long.MIN_VALUE;

  private final ByteBudget budget;
  private final ByteBudget share;
  private final Set<UnfinishedRequest> open = ConcurrentHashMap.newKeySet();
  private final AtomicLong closed = new AtomicLong();
  private final AtomicLong lastSearchNanos = new AtomicLong(NEVER);
  // What requests have asked for without success since the last search.
  private final AtomicLong wantedBytes = new AtomicLong();

  /**
   * Creates an account.
   *
   * @param budget the memory for the bodies of all requests of this node
   */
  public UnfinishedRequests(ByteBudget budget) {
    this.budget = budget;
    this.share = new ByteBudget(budget.capacity() / 2);
  }

  /**
   * Records that a request begins to arrive.
   *
   * @param close ends its connection, which the thread of the request observes; must not block
   * @param nowNanos the current time
   * @return the request
   */
  public UnfinishedRequest open(Runnable close, long nowNanos) {
    UnfinishedRequest request = new UnfinishedRequest(this, close, nowNanos);
    open.add(request);
    return request;
  }

  boolean tryAcquire(UnfinishedRequest request, long bytes, long nowNanos) {
    if (share.tryAcquire(bytes)) {
      if (budget.tryAcquire(bytes)) {
        return true;
      }
      share.release(bytes);
    }
    closeLeastProgressing(request, bytes, nowNanos);
    return false;
  }

  private void closeLeastProgressing(UnfinishedRequest needing, long bytes, long nowNanos) {
    if (bytes > share.capacity()) {
      return;
    }
    wantedBytes.addAndGet(bytes);
    if (!maySearch(nowNanos)) {
      return;
    }
    long wanted = wantedBytes.getAndSet(0);
    List<UnfinishedRequest> stalled =
        open.stream()
            .filter(request -> request != needing && request.heldBytes() > 0)
            .filter(request -> request.isStalled(nowNanos))
            .sorted(Comparator.comparingDouble(request -> request.recentBytes(nowNanos)))
            .toList();
    long expected = 0;
    for (UnfinishedRequest request : stalled) {
      if (expected >= wanted) {
        return;
      }
      long held = request.heldBytes();
      if (request.close()) {
        expected += held;
      }
    }
  }

  // One search makes room for all requests that wait.
  private boolean maySearch(long nowNanos) {
    long last = lastSearchNanos.get();
    return (last == NEVER || nowNanos - last >= SEARCH_INTERVAL_NANOS)
        && lastSearchNanos.compareAndSet(last, nowNanos);
  }

  void onClosed() {
    closed.incrementAndGet();
  }

  void releaseShare(long bytes) {
    share.release(bytes);
  }

  void end(UnfinishedRequest request, long bytes, long shareBytes) {
    open.remove(request);
    budget.release(bytes);
    share.release(shareBytes);
  }

  /** {@return the number of requests that were closed to make room for others} */
  public long closedRequests() {
    return closed.get();
  }

  /** {@return the number of bytes that unfinished requests hold} */
  public long usedBytes() {
    return share.used();
  }

  /** {@return the largest number of bytes that unfinished requests may hold} */
  public long capacityBytes() {
    return share.capacity();
  }

  /** {@return the number of requests that have not ended} */
  public int openRequests() {
    return open.size();
  }
}
