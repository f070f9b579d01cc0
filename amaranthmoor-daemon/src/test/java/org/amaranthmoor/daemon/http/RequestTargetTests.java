package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.io.CloseMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that are routed or passed on with another path than the caller sent: a
 * path that begins with two slashes, and bytes that are not ASCII.
 */
class RequestTargetTests {

  private static final class RecordingSocket extends Socket {
    private final InputStream in;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private RecordingSocket(byte[] received) {
      this.in = new ByteArrayInputStream(received);
    }

    @Override
    public InputStream getInputStream() {
      return in;
    }

    @Override
    public OutputStream getOutputStream() {
      return out;
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static ClassicHttpRequest receive(String head) throws IOException, HttpException {
    ServerConnection connection = new ServerConnection(Http1Config.DEFAULT);
    connection.bind(new RecordingSocket(bytes(head)));
    return connection.receiveRequestHeader();
  }

  private static byte[] send(ClassicHttpRequest request) throws IOException, HttpException {
    RecordingSocket socket = new RecordingSocket(new byte[0]);
    ClientConnection connection = new ClientConnection();
    connection.bind(socket);
    connection.sendRequestHeader(request);
    connection.flush();
    connection.close(CloseMode.IMMEDIATE);
    return socket.out.toByteArray();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/p/1?a=/b",
        "//other.example/p/1",
        "///p/1",
        "/p//1",
        "/p/1#part",
        "/p/%E0%B4%82",
        "/p/\u00e0\u00b4\u0082?\u00e0\u00b4\u0083",
        "/p/\u0080\u0090\u009f\u00a0\u00ff",
        "/p/<>\"{}|\\^`"
      })
  void aTargetIsPassedOnAsItWasReceived(String target) throws Exception {
    String head = "POST " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    ClassicHttpRequest request = receive(head);

    assertEquals(target, request.getRequestUri());
    assertNull(request.getAuthority());
    assertArrayEquals(bytes(head), send(request));
  }

  @Test
  void anAbsoluteTargetNamesTheHost() throws Exception {
    ClassicHttpRequest request =
        receive("GET http://b.example/p/1 HTTP/1.1\r\nHost: a.example\r\n\r\n");

    assertEquals("b.example", request.getAuthority().toString());
    assertEquals("/p/1", request.getRequestUri());
  }

  @Test
  void theValueOfAFieldIsPassedOnAsItWasReceived() throws Exception {
    String head = "GET /p/1 HTTP/1.1\r\nHost: a.example\r\nTitle: \u00e0\u00b4\u0082\ta\r\n\r\n";

    assertArrayEquals(bytes(head), send(receive(head)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /p/\u0001 HTTP/1.1\r\n",
        "GET /p/\u007f HTTP/1.1\r\n",
        "GET /p/1 HTTP/1.1\r\nTitle: a\u0000b\r\n",
        "GET /p/1 HTTP/1.1\r\nTitle: a\rContent-Length: 4\r\n",
        "GET /p/1 HTTP/1.1\r\nContent Length: 4\r\n",
        "GET /p/1 HTTP/1.1\r\nContent-Length : 4\r\n",
        "GET /p/1 HTTP/1.1\r\nContent-Length\u0001: 4\r\n"
      })
  void aHeadThatCannotBePassedOnUnchangedIsRejected(String lines) {
    assertThrows(ParseException.class, () -> receive(lines + "Host: a.example\r\n\r\n"));
  }
}
