package org.amaranthmoor.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * SHA-256 digest of an API key, by which the key is recognized without being kept.
 *
 * <p>The time that a look-up by digest takes does not depend on how much of a key is right, because
 * the digests of similar keys have nothing in common. Immutable and safe for use by several
 * threads.
 *
 * @param first the first eight bytes of the digest
 * @param second the next eight bytes
 * @param third the next eight bytes
 * @param fourth the last eight bytes
 */
public record KeyDigest(long first, long second, long third, long fourth) {

  /**
   * Computes the digest of a key.
   *
   * @param key the key
   * @return its digest
   */
  public static KeyDigest of(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      ByteBuffer buffer = ByteBuffer.wrap(digest);
      return new KeyDigest(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }

  /** {@return a text without the digest, so that no log line or dump contains it} */
  @Override
  public String toString() {
    return "KeyDigest";
  }
}
