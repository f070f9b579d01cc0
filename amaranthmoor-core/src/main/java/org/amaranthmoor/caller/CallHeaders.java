package org.amaranthmoor.caller;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * Names and formats of the HTTP headers that carry the deadline, key and result of a call.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class CallHeaders {

  /** Deadline in the format of gRPC: up to eight digits and one of H, M, S, m, u, n. */
  public static final String TIMEOUT = "Grpc-Timeout";

  /** Preference of RFC 7240; {@code wait=N} gives the deadline in seconds. */
  public static final String PREFER = "Prefer";

  /** Key that is the same in all attempts of one request; a UUID of version 7. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Attempt number that is passed on with a call, so that nested calls do not multiply retries. */
  public static final String ATTEMPT = "Amaranthmoor-Attempt";

  /** Key of the caller's team. */
  public static final String TEAM_KEY = "Amaranthmoor-Key";

  /** Name of the team that holds the caller's key, set on calls to targets. */
  public static final String TEAM = "Amaranthmoor-Team";

  /** Outcome of the request: answered, not-run or unknown. */
  public static final String OUTCOME = "Amaranthmoor-Outcome";

  /** Number of the result code. */
  public static final String CODE = "Amaranthmoor-Code";

  /** Target that answered. */
  public static final String TARGET = "Amaranthmoor-Target";

  /** Seconds after which the caller may retry. */
  public static final String RETRY_AFTER = "Retry-After";

  /** Milliseconds after which the caller may retry. */
  public static final String RETRY_AFTER_MILLIS = "Retry-After-Ms";

  /** Set on an answer that repeats the answer to an earlier request with the same key. */
  public static final String REPLAYED = "Idempotent-Replayed";

  /**
   * Set by a target on the refusal of a request that it has not run; the value is {@code not-run}.
   */
  public static final String TARGET_REFUSED = "Amaranthmoor-Refused";

  private static final int MAX_TIMEOUT_DIGITS = 8;
  private static final String WAIT_PREFERENCE_PREFIX = "wait=";

  private CallHeaders() {}

  /**
   * Parses a deadline.
   *
   * @param text value of {@link #TIMEOUT}
   * @return the time the caller waits, or empty if the value is not valid
   */
  public static Optional<Duration> parseTimeout(String text) {
    int digits = text.length() - 1;
    if (digits < 1 || digits > MAX_TIMEOUT_DIGITS) {
      return Optional.empty();
    }
    return parseDigits(text.substring(0, digits))
        .flatMap(amount -> toDuration(amount, text.charAt(digits)));
  }

  /**
   * Parses the wait preference.
   *
   * @param text value of {@link #PREFER}
   * @return the time the caller waits, or empty if no valid one is stated
   */
  public static Optional<Duration> parsePreferWait(String text) {
    for (String preference : text.split("[,;]", -1)) {
      String trimmed = preference.trim().toLowerCase(Locale.ROOT);
      if (trimmed.startsWith(WAIT_PREFERENCE_PREFIX)) {
        return parseDigits(trimmed.substring(WAIT_PREFERENCE_PREFIX.length()))
            .map(Duration::ofSeconds);
      }
    }
    return Optional.empty();
  }

  /**
   * Formats a deadline.
   *
   * @param nanos the time left, in nanoseconds
   * @return a value for {@link #TIMEOUT}, in milliseconds and at least 1
   */
  public static String formatTimeout(long nanos) {
    long millis = Math.max(1, Duration.ofNanos(nanos).toMillis());
    return Math.min(millis, 99_999_999L) + "m";
  }

  private static Optional<Duration> toDuration(long amount, char unit) {
    return switch (unit) {
      case 'H' -> Optional.of(Duration.ofHours(amount));
      case 'M' -> Optional.of(Duration.ofMinutes(amount));
      case 'S' -> Optional.of(Duration.ofSeconds(amount));
      case 'm' -> Optional.of(Duration.ofMillis(amount));
      case 'u' -> Optional.of(Duration.ofNanos(Math.multiplyExact(amount, 1_000L)));
      case 'n' -> Optional.of(Duration.ofNanos(amount));
      default -> Optional.empty();
    };
  }

  private static Optional<Long> parseDigits(String text) {
    boolean digitsOnly = !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
    if (!digitsOnly || text.length() > MAX_TIMEOUT_DIGITS) {
      return Optional.empty();
    }
    return Optional.of(Long.parseLong(text)).filter(amount -> amount > 0);
  }
}
