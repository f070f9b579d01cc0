package org.amaranthmoor.model;

import java.util.Comparator;
import java.util.List;

/**
 * Ranks holders of a key by rendezvous hashing.
 *
 * <p>Every process that knows the same holders ranks them alike, and losing a holder moves only its
 * own keys. Stateless and safe for use by several threads.
 */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Ranks holders.
   *
   * @param keyHash hash of the key
   * @param holders the holders
   * @param <T> the type of the holders
   * @return the holders, first choice first
   */
  public static <T extends Comparable<T>> List<T> rank(long keyHash, List<T> holders) {
    Comparator<T> byWeight =
        Comparator.comparingLong((T holder) -> weight(keyHash, holder)).reversed();
    return holders.stream().sorted(byWeight.thenComparing(Comparator.naturalOrder())).toList();
  }

  /**
   * Returns a hash of a text that is the same in every process.
   *
   * @param text the text
   * @return the hash
   */
  public static long hash(String text) {
    long hash = 0;
    for (int i = 0; i < text.length(); i++) {
      hash = mix(hash + text.charAt(i) + 0x9E3779B97F4A7C15L);
    }
    return hash;
  }

  private static long weight(long keyHash, Object holder) {
    return mix(keyHash ^ hash(holder.toString()));
  }

  // The finalizer of SplitMix64.
  private static long mix(long value) {
    long z = value;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
