package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against pieces that are lost, and against a short body that ends like a whole one. */
class StreamedEntityTests {

  private static final long SEED = 1;
  private static final long UNKNOWN_LENGTH = -1;

  private static byte[] body(int length) {
    byte[] body = new byte[length];
    new Random(SEED).nextBytes(body);
    return body;
  }

  private static byte[] write(byte[] body, long length) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new StreamedEntity(new ByteArrayInputStream(body), length).writeTo(out);
    return out.toByteArray();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 16_383, 16_384, 16_385, 100_000})
  void writesTheWholeBody(int length) throws IOException {
    byte[] body = body(length);

    assertArrayEquals(body, write(body, length));
    assertArrayEquals(body, write(body, UNKNOWN_LENGTH));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 16_385, 100_000})
  void aBodyThatIsShorterThanItsLengthFails(int length) {
    byte[] body = body(length - 1);

    assertThrows(ConnectionClosedException.class, () -> write(body, length));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 16_385})
  void closesTheStream(int length) throws IOException {
    AtomicBoolean closed = new AtomicBoolean();
    ByteArrayInputStream in =
        new ByteArrayInputStream(body(length)) {
          @Override
          public void close() {
            closed.set(true);
          }
        };

    new StreamedEntity(in, length).writeTo(new ByteArrayOutputStream());

    assertTrue(closed.get());
  }
}
