package org.amaranthmoor.target;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.amaranthmoor.model.IdempotencyKey;

/**
 * Remembers idempotency keys and the answers to their requests.
 *
 * <p>Invariants: between a fresh claim and its {@link #release}, no other claim of the key is
 * fresh; a claim whose request may have run is kept until the key is too old to be accepted.
 * Wall-clock times are milliseconds since the epoch. Safe for use by several threads.
 *
 * @param <A> the type of kept answers
 */
public final class KeyLedger<A> {

  /** Age beyond which a key is refused, in milliseconds. */
  public static final long WINDOW_MILLIS = 3_600_000L;

  /** Largest assumed difference between two clocks, in milliseconds. */
  public static final long MAX_CLOCK_SKEW_MILLIS = 1_000L;

  /**
   * Result of claiming a key.
   *
   * @param <A> the type of kept answers
   */
  public sealed interface Claim<A> {
    /**
     * The key is new; the request may run.
     *
     * @param <A> the type of kept answers
     */
    record Fresh<A>() implements Claim<A> {}

    /**
     * An earlier request is still running.
     *
     * @param <A> the type of kept answers
     */
    record InProgress<A>() implements Claim<A> {}

    /**
     * An earlier request was answered.
     *
     * @param answer the answer, or empty if it was not kept or was dropped since
     * @param <A> the type of kept answers
     */
    record Answered<A>(Optional<A> answer) implements Claim<A> {}

    /**
     * An earlier request ran, and its outcome is not known.
     *
     * @param <A> the type of kept answers
     */
    record OutcomeUnknown<A>() implements Claim<A> {}

    /**
     * The key is older than {@link KeyLedger#WINDOW_MILLIS}, so an earlier claim may be forgotten.
     *
     * @param <A> the type of kept answers
     */
    record TooOld<A>() implements Claim<A> {}

    /**
     * The ledger holds its maximum number of keys, none of which may be forgotten yet.
     *
     * @param <A> the type of kept answers
     */
    record Full<A>() implements Claim<A> {}
  }

  private enum Progress {
    RUNNING,
    ANSWERED,
    UNKNOWN
  }

  private static final class Entry<A> {
    private Progress progress = Progress.RUNNING;
    private Optional<A> answer = Optional.empty();
    private int answerBytes;
  }

  private final int maxKeys;
  private final int maxAnswerBytes;
  private final ToIntFunction<A> size;
  // In order of claims, so that the answers of the oldest claims are dropped first.
  private final Map<IdempotencyKey, Entry<A>> entries = new LinkedHashMap<>();
  private int answerBytes;

  /**
   * Creates an empty ledger.
   *
   * @param maxKeys maximum number of keys
   * @param maxAnswerBytes maximum size of all kept answers, in bytes
   * @param size returns the size of an answer in bytes
   */
  public KeyLedger(int maxKeys, int maxAnswerBytes, ToIntFunction<A> size) {
    this.maxKeys = maxKeys;
    this.maxAnswerBytes = maxAnswerBytes;
    this.size = size;
  }

  /**
   * Claims a key for a request that is about to run.
   *
   * @param key the key
   * @param nowMillis the current wall-clock time
   * @return whether the request may run, and if not, what is remembered of the key
   */
  public synchronized Claim<A> claim(IdempotencyKey key, long nowMillis) {
    Entry<A> entry = entries.get(key);
    if (entry != null) {
      return describe(entry);
    }
    if (key.createdAtMillis() < nowMillis - WINDOW_MILLIS) {
      return new Claim.TooOld<>();
    }
    if (entries.size() >= maxKeys && !forgetOldest(nowMillis)) {
      return new Claim.Full<>();
    }
    Claim<A> fresh = new Claim.Fresh<>();
    entries.put(key, new Entry<>());
    return fresh;
  }

  /**
   * Finds a key without claiming it.
   *
   * @param key the key
   * @return what is remembered of it, or empty if nothing is
   */
  public synchronized Optional<Claim<A>> find(IdempotencyKey key) {
    return Optional.ofNullable(entries.get(key)).map(this::describe);
  }

  private Claim<A> describe(Entry<A> entry) {
    return switch (entry.progress) {
      case RUNNING -> new Claim.InProgress<>();
      case ANSWERED -> new Claim.Answered<>(entry.answer);
      case UNKNOWN -> new Claim.OutcomeUnknown<>();
    };
  }

  // Forgets keys that are too old to be claimed again, except those of running requests. Returns
  // whether there is room for another key.
  private boolean forgetOldest(long nowMillis) {
    long oldest = nowMillis - WINDOW_MILLIS - MAX_CLOCK_SKEW_MILLIS;
    var iterator = entries.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<IdempotencyKey, Entry<A>> entry = iterator.next();
      if (entry.getKey().createdAtMillis() < oldest
          && entry.getValue().progress != Progress.RUNNING) {
        answerBytes -= entry.getValue().answerBytes;
        iterator.remove();
      }
    }
    return entries.size() < maxKeys;
  }

  /**
   * Releases a fresh claim whose request was not run; the key may be claimed again.
   *
   * @param key the key
   */
  public synchronized void release(IdempotencyKey key) {
    entries.remove(key);
  }

  /**
   * Ends a fresh claim with an answer.
   *
   * @param key the key
   * @param answer the answer, or empty if it is not to be kept
   */
  public synchronized void onAnswered(IdempotencyKey key, Optional<A> answer) {
    Entry<A> entry = entries.get(key);
    if (entry == null) {
      return;
    }
    entry.progress = Progress.ANSWERED;
    answer.filter(value -> size.applyAsInt(value) <= maxAnswerBytes).ifPresent(v -> keep(entry, v));
    dropOldestAnswers();
  }

  private void keep(Entry<A> entry, A answer) {
    entry.answer = Optional.of(answer);
    entry.answerBytes = size.applyAsInt(answer);
    answerBytes += entry.answerBytes;
  }

  private void dropOldestAnswers() {
    var iterator = entries.values().iterator();
    while (answerBytes > maxAnswerBytes && iterator.hasNext()) {
      Entry<A> entry = iterator.next();
      answerBytes -= entry.answerBytes;
      entry.answerBytes = 0;
      entry.answer = Optional.empty();
    }
  }

  /**
   * Ends a fresh claim whose request may have run.
   *
   * @param key the key
   */
  public synchronized void onOutcomeUnknown(IdempotencyKey key) {
    Entry<A> entry = entries.get(key);
    if (entry != null) {
      entry.progress = Progress.UNKNOWN;
    }
  }

  /** {@return the number of keys remembered} */
  public synchronized int size() {
    return entries.size();
  }
}
