package org.amaranthmoor.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A hash of the method, path, caller and start of the body of a request, which does not depend on
 * its id.
 *
 * <p>It contains the hash of the path, so that requests with another path are excluded without
 * hashing their body. Immutable and safe for use by several threads.
 *
 * @param high the hash of the path in the upper half, followed by a part of the hash of the rest
 * @param low a part of the hash of the rest
 */
public record RequestFingerprint(long high, long low) {

  private static final String ALGORITHM = "SHA-256";

  /** Separates fields of the hashed text; a method, path or caller never contains it. */
  private static final byte SEPARATOR = '\n';

  private static final long LOWER_HALF = 0xFFFF_FFFFL;

  /**
   * Computes the fingerprint of a request.
   *
   * @param method the method
   * @param path the path with the query
   * @param caller the identity of the caller, empty if callers are not distinguished
   * @param bodyStart the first bytes of the body; the same number for equal requests
   * @return the fingerprint
   */
  public static RequestFingerprint of(String method, String path, String caller, byte[] bodyStart) {
    MessageDigest digest = newDigest();
    for (String field : new String[] {method, path, caller}) {
      digest.update(field.getBytes(StandardCharsets.UTF_8));
      digest.update(SEPARATOR);
    }
    ByteBuffer hash = ByteBuffer.wrap(digest.digest(bodyStart));
    long high = ((long) path.hashCode() << Integer.SIZE) | (hash.getLong() & LOWER_HALF);
    return new RequestFingerprint(high, hash.getLong());
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    }
  }

  /** {@return the hash of the path, as {@link String#hashCode} computes it} */
  public int pathHash() {
    return (int) (high >>> Integer.SIZE);
  }

  @Override
  public String toString() {
    HexFormat hex = HexFormat.of();
    return hex.toHexDigits(high) + hex.toHexDigits(low);
  }
}
