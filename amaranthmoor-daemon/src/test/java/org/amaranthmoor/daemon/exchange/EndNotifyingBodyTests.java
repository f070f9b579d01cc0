package org.amaranthmoor.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a body whose source ends early and which counts as answered. */
class EndNotifyingBodyTests {

  private final List<String> notified = new ArrayList<>();

  private EndNotifyingBody body(int bytes, long length) {
    return new EndNotifyingBody(
        new ByteArrayInputStream(new byte[bytes]),
        length,
        () -> notified.add("end"),
        () -> notified.add("early close"));
  }

  @Test
  void aBodyWhoseSourceEndsBeforeItsLengthFails() throws IOException {
    try (EndNotifyingBody body = body(10, 11)) {
      assertThrows(IOException.class, body::readAllBytes);
    }
    assertEquals(List.of("early close"), notified);
  }

  @Test
  void aBodyOfItsStatedLengthEnds() throws IOException {
    try (EndNotifyingBody body = body(10, 10)) {
      assertEquals(10, body.readAllBytes().length);
    }
    assertEquals(List.of("end"), notified);
  }

  @Test
  void aBodyWithoutALengthEndsWithItsSource() throws IOException {
    try (EndNotifyingBody body = body(10, -1)) {
      assertEquals(10, body.readAllBytes().length);
    }
    assertEquals(List.of("end"), notified);
  }
}
