package org.amaranthmoor.model;

import java.util.Optional;
import java.util.UUID;

/**
 * Key by which a caller marks the attempts of one request.
 *
 * <p>Invariant: a UUID of version 7, whose first 48 bits are its creation time. A target side uses
 * that time to decide whether it already owned the key when the key was created.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the UUID
 */
public record IdempotencyKey(UUID value) {

  private static final int TIME_ORDERED_VERSION = 7;
  private static final int TEXT_LENGTH = 36;
  private static final int TIME_SHIFT = 16;

  /**
   * Checks the version of the UUID.
   *
   * @throws IllegalArgumentException if the UUID is not of version 7
   */
  public IdempotencyKey {
    if (value.version() != TIME_ORDERED_VERSION) {
      throw new IllegalArgumentException(
          "idempotency key must be a UUID of version 7, but was: " + value);
    }
  }

  /**
   * Parses a key.
   *
   * @param text the text of a UUID, with or without quotes
   * @return the key, or empty if the text is not a UUID of version 7
   */
  public static Optional<IdempotencyKey> parse(String text) {
    String bare =
        text.startsWith("\"") && text.endsWith("\"") && text.length() > 1
            ? text.substring(1, text.length() - 1)
            : text;
    if (bare.length() != TEXT_LENGTH) {
      return Optional.empty();
    }
    try {
      UUID uuid = UUID.fromString(bare);
      return uuid.version() == TIME_ORDERED_VERSION
          ? Optional.of(new IdempotencyKey(uuid))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Creates a key.
   *
   * @param epochMillis the creation time, in milliseconds since the epoch
   * @param randB random bits, of which the lower 62 are used
   * @param randA further random bits, of which the lower 12 are used
   * @return the key
   */
  public static IdempotencyKey create(long epochMillis, long randB, int randA) {
    long high = (epochMillis << TIME_SHIFT) | 0x7000L | (randA & 0xFFFL);
    long low = (randB & 0x3FFF_FFFF_FFFF_FFFFL) | 0x8000_0000_0000_0000L;
    return new IdempotencyKey(new UUID(high, low));
  }

  /** {@return the creation time of the key, in milliseconds since the epoch} */
  public long createdAtMillis() {
    return value.getMostSignificantBits() >>> TIME_SHIFT;
  }

  @Override
  public String toString() {
    return value.toString();
  }
}
