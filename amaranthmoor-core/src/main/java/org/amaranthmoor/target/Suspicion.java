package org.amaranthmoor.target;

import java.util.Comparator;

/**
 * How strongly a request is suspected to crash the targets that run it.
 *
 * <p>The greater of two suspicions is the later one: a clearance overrides all crashes before it.
 * Immutable and safe for use by several threads.
 *
 * @param clearances number of times that the suspicion was dropped, because a target had answered
 *     such a request
 * @param crashes number of targets that have crashed one after another with such a request in
 *     progress since then
 */
public record Suspicion(int clearances, int crashes) implements Comparable<Suspicion> {

  /** The suspicion against a request that was at no crash. */
  public static final Suspicion NONE = new Suspicion(0, 0);

  private static final Comparator<Suspicion> ORDER =
      Comparator.comparingInt(Suspicion::clearances).thenComparingInt(Suspicion::crashes);

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if one of them is negative
   */
  public Suspicion {
    if (clearances < 0 || crashes < 0) {
      throw new IllegalArgumentException(
          "clearances and crashes must be at least 0, but were: " + clearances + ", " + crashes);
    }
  }

  /**
   * Returns the suspicion after a crash.
   *
   * @param atHandOver the suspicion that was known when the request was handed over to the target;
   *     crashes that became known later may have the same cause as this one, so they do not add up
   * @return the suspicion
   */
  Suspicion afterCrash(Suspicion atHandOver) {
    int crashesInTurn = atHandOver.clearances == clearances ? atHandOver.crashes + 1 : 1;
    return new Suspicion(clearances, Math.max(crashes, crashesInTurn));
  }

  /** {@return the suspicion after a target has answered such a request} */
  Suspicion cleared() {
    return new Suspicion(clearances + 1, 0);
  }

  @Override
  public int compareTo(Suspicion other) {
    return ORDER.compare(this, other);
  }
}
