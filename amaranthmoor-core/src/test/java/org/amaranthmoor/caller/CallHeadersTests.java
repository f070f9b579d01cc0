package org.amaranthmoor.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CallHeadersTests {

  @ParameterizedTest
  @CsvSource({
    "1H, PT1H",
    "2M, PT2M",
    "10S, PT10S",
    "250m, PT0.25S",
    "250000u, PT0.25S",
    "99999999n, PT0.099999999S"
  })
  void parsesTimeouts(String text, Duration timeout) {
    assertEquals(Optional.of(timeout), CallHeaders.parseTimeout(text));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "S", "10", "10x", "-1S", "0S", "123456789S", "1.5S", " 1S"})
  void rejectsMalformedTimeouts(String text) {
    assertEquals(Optional.empty(), CallHeaders.parseTimeout(text));
  }

  @ParameterizedTest
  @CsvSource({"wait=10", "'respond-async, wait=10'", "'wait=10; foo'"})
  void parsesTheWaitPreference(String text) {
    assertEquals(Optional.of(Duration.ofSeconds(10)), CallHeaders.parsePreferWait(text));
  }
}
