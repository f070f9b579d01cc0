package org.amaranthmoor.model;

import java.util.Comparator;
import java.util.List;

/**
 * Ranks the candidates for a key by rendezvous hashing.
 *
 * <p>All processes that know the same candidates rank them in the same order. The loss of a
 * candidate moves only the keys for which it ranked first.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class RendezvousHash {

  private RendezvousHash() {}

  /**
   * Ranks the candidates for a key.
   *
   * @param keyHash hash of the key
   * @param candidates the candidates
   * @param <T> the type of the candidates
   * @return the candidates, first choice first
   */
  public static <T extends Comparable<T>> List<T> rank(long keyHash, List<T> candidates) {
    Comparator<T> byWeight =
        Comparator.comparingLong((T candidate) -> weight(keyHash, candidate)).reversed();
    return candidates.stream().sorted(byWeight.thenComparing(Comparator.naturalOrder())).toList();
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

  /**
   * Returns the weight of a candidate for a key; the candidate with the greatest weight is the
   * first choice.
   *
   * @param keyHash hash of the key
   * @param candidateHash hash of the candidate's name
   * @return the weight
   */
  public static long weight(long keyHash, long candidateHash) {
    return mix(keyHash ^ candidateHash);
  }

  private static long weight(long keyHash, Object candidate) {
    return weight(keyHash, hash(candidate.toString()));
  }

  // The finalizer of SplitMix64, which spreads similar inputs over all bits.
  private static long mix(long value) {
    long z = value;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
