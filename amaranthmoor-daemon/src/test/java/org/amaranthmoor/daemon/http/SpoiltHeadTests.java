package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.SequenceInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses with a spoilt head that pass for complete ones: with another body than
 * the target sent, or with a line that is no field.
 */
class SpoiltHeadTests {

  private static final String BODY = "the whole body of the response, and nothing else\r\n";
  private static final String SIGNATURE = "X-Signature";
  private static final String ID = "X-Id";

  /** How a response states the length of its body. */
  enum Framing {
    LENGTH("Content-Length: " + BODY.length() + "\r\n\r\n" + BODY),
    CHUNKS(
        "Transfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(BODY.length())
            + "\r\n"
            + BODY
            + "\r\n0\r\n\r\n");

    private final String rest;

    Framing(String rest) {
      this.rest = rest;
    }

    private String response(String fields) {
      return "HTTP/1.1 200 OK\r\n" + ID + ": r1\r\n" + fields + rest;
    }
  }

  /** What follows the response on its connection. */
  private enum Then {
    /** The target closes the connection. */
    CLOSED,
    /** The connection stays open. */
    OPEN
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record Received(ClassicHttpResponse response, byte[] body) {

    // A caller cannot use a success without its id and its signature.
    private boolean isPassedOn() {
      Header id = response.getFirstHeader(ID);
      return id != null && id.getValue().equals("r1") && response.containsHeader(SIGNATURE);
    }
  }

  private static final class ReceivingSocket extends Socket {
    private final InputStream in;

    private ReceivingSocket(byte[] bytes, Then then) {
      InputStream received = new ByteArrayInputStream(bytes);
      this.in =
          then == Then.CLOSED ? received : new SequenceInputStream(received, new SilentStream());
    }

    @Override
    public InputStream getInputStream() {
      return in;
    }

    @Override
    public OutputStream getOutputStream() {
      return OutputStream.nullOutputStream();
    }

    @Override
    public void shutdownOutput() {}

    @Override
    public void shutdownInput() {}
  }

  private static final class SilentStream extends InputStream {
    @Override
    public int read() throws IOException {
      throw new SocketTimeoutException("nothing was received");
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      return read();
    }
  }

  private static Received receive(byte[] bytes, Then then) throws IOException, HttpException {
    try (ClientConnection connection = new ClientConnection()) {
      connection.bind(new ReceivingSocket(bytes, then));
      ClassicHttpResponse response = connection.receiveResponseHeader();
      int status = response.getCode();
      byte[] body = new byte[0];
      if (status != 204 && status != 304) {
        connection.receiveResponseEntity(response);
        body = response.getEntity().getContent().readAllBytes();
      }
      connection.checkEndOfResponse();
      return new Received(response, body);
    }
  }

  private static Optional<Received> receiveIfSound(byte[] bytes, Then then) {
    try {
      return Optional.of(receive(bytes, then)).filter(Received::isPassedOn);
    } catch (IOException | HttpException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static int headLength(String response) {
    return response.indexOf("\r\n\r\n") + 4;
  }

  // Text of a field that says nothing about the body can be replaced by other text.
  private static boolean isOpaqueText(String response, int position) {
    int lineStart = response.lastIndexOf('\n', position - 1) + 1;
    String line = response.substring(lineStart, response.indexOf("\r\n", lineStart));
    int valueStart = line.indexOf(": ") + 2;
    return lineStart == 0 || (line.startsWith("X-") && position - lineStart >= valueStart);
  }

  private static void assertRejected(String response) {
    Exception rejection =
        assertThrows(Exception.class, () -> receive(bytes(response), Then.CLOSED));
    assertTrue(
        rejection instanceof HttpException || rejection instanceof MalformedResponseException,
        rejection::toString);
  }

  @ParameterizedTest
  @EnumSource
  void aSoundResponseIsRead(Framing framing) throws Exception {
    for (Then then : Then.values()) {
      Received received = receive(bytes(framing.response(SIGNATURE + ": s1\r\n")), then);

      assertArrayEquals(bytes(BODY), received.body());
      assertEquals("s1", received.response().getFirstHeader(SIGNATURE).getValue());
    }
  }

  @ParameterizedTest
  @EnumSource
  void noSpoiltByteOfAHeadLetsAnotherBodyPass(Framing framing) {
    String sound = framing.response(SIGNATURE + ": s1\r\nKeep-Alive: timeout=5\r\n");
    List<String> passed = new ArrayList<>();
    for (int position = 0; position < headLength(sound); position++) {
      for (int value = 0; value < 256; value++) {
        byte[] spoilt = bytes(sound);
        spoilt[position] = (byte) value;
        for (Then then : Then.values()) {
          String found = describeIfOther(sound, spoilt, position, then);
          if (!found.isEmpty()) {
            passed.add("byte " + value + " at " + position + ", then " + then + ": " + found);
          }
        }
      }
    }
    assertEquals(List.of(), passed);
  }

  // A status can be replaced by another one, and what such a response means is not tested here.
  private static String describeIfOther(String sound, byte[] spoilt, int position, Then then) {
    Optional<Received> received = receiveIfSound(spoilt, then);
    if (received.isEmpty()) {
      return "";
    }
    String body = new String(received.get().body(), StandardCharsets.ISO_8859_1);
    if (!body.equals(BODY)) {
      return "body of " + body.length() + " bytes";
    }
    return isOpaqueText(sound, position) ? "" : describeField(sound, received.get());
  }

  private static String describeField(String sound, Received received) {
    for (Header header : received.response().getHeaders()) {
      boolean token = header.getName().matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
      boolean text = header.getValue().chars().allMatch(c -> c == '\t' || (c >= 32 && c != 127));
      if (!token || !text) {
        return "field " + header + " of " + sound.length() + " bytes";
      }
    }
    return "";
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5x0",
        "Content-Length: +50",
        "Content-Length: -50",
        "Content-Length: 0x32",
        "Content-Length:",
        "Content-Length: 50, 49",
        "Content-Length: 5 0",
        "Content-Length: 50\r\nContent-Length: 49",
        "Content-Length: 99999999999999999999",
        "Content-Length 50",
        "Content-Length\u0000: 50",
        "Content Length: 50",
        "Content-Length : 50",
        "Con\ttent-Length: 50",
        ": 50",
        "Transfer-Encoding: chunke",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: \u000bchunked",
        "Transfer-Encoding\u0001: chunked",
        "no field",
        "X-Other: a\r\n Content-Length: 50",
        "X-Other: a\u0000b\r\nContent-Length: 50",
        "X-Other: a\rContent-Length: 50"
      })
  void aHeadThatDoesNotStateTheLengthOfTheBodySoundlyIsRejected(String lines) {
    String response = "HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\n" + BODY;

    assertRejected(response);
  }

  @Test
  void aResponseWithoutALengthEndsWithItsConnection() throws Exception {
    String response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY;

    assertArrayEquals(bytes(BODY), receive(bytes(response), Then.CLOSED).body());
  }

  @Test
  void aResponseWithoutALengthOnAConnectionThatStaysOpenIsRejected() {
    String response = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n\r\n" + BODY;

    assertRejected(response);
  }

  @Test
  void aFurtherResponseDoesNotAffectTheOneBefore() throws Exception {
    String response = Framing.LENGTH.response(SIGNATURE + ": s1\r\n");

    assertArrayEquals(bytes(BODY), receive(bytes(response + response), Then.OPEN).body());
  }
}
