package org.amaranthmoor.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against log lines whose time differs from that of the platform's own lines. */
class UtcTimestampTests {

  private static final long MAX_MILLIS = 4_102_444_800_000L;
  private static final int ROUNDS = 5_000;

  @ParameterizedTest
  @CsvSource({
    "0, 1970-01-01T00:00:00.000Z",
    "-1, 1969-12-31T23:59:59.999Z",
    "951782399999, 2000-02-28T23:59:59.999Z",
    "951782400000, 2000-02-29T00:00:00.000Z",
    "1796403793974, 2026-12-04T17:03:13.974Z"
  })
  void timesAreInUtcWithMilliseconds(long epochMillis, String expected) {
    assertEquals(expected, UtcTimestamp.format(epochMillis));
  }

  @Test
  void anyTimeEqualsThatOfTheLibrary() {
    DateTimeFormatter library =
        DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < ROUNDS; i++) {
      long millis = random.nextLong(MAX_MILLIS);

      assertEquals(library.format(Instant.ofEpochMilli(millis)), UtcTimestamp.format(millis));
    }
  }
}
