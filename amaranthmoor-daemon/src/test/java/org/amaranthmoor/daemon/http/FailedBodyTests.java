package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.io.CloseMode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a body whose source fails midway and which the peer takes for complete. */
class FailedBodyTests {

  private static final int TIMEOUT_MILLIS = 10_000;

  private ServerSocket listener;
  private Socket own;
  private Socket peer;

  @BeforeEach
  void connect() throws IOException {
    listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    own = new Socket(listener.getInetAddress(), listener.getLocalPort());
    peer = listener.accept();
    peer.setSoTimeout(TIMEOUT_MILLIS);
  }

  @AfterEach
  void close() throws IOException {
    own.close();
    peer.close();
    listener.close();
  }

  private static HttpEntity failingEntity() {
    InputStream failing =
        new InputStream() {
          @Override
          public int read() throws IOException {
            throw new IOException("the source failed");
          }

          @Override
          public int read(byte[] buffer, int offset, int length) throws IOException {
            throw new IOException("the source failed");
          }
        };
    InputStream first = new ByteArrayInputStream(new byte[50_000]);
    return new InputStreamEntity(new SequenceInputStream(first, failing), -1, null);
  }

  // A reset discards what has not been read, so that the text may be empty.
  private String receivedByPeer() {
    try {
      return new String(peer.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return "";
    }
  }

  @Test
  void aChunkedRequestIsNotEndedByALastChunk() throws Exception {
    ClientConnection connection = new ClientConnection();
    connection.bind(own);
    BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/");
    request.setHeader("Transfer-Encoding", "chunked");
    request.setEntity(failingEntity());

    connection.sendRequestHeader(request);
    assertThrows(IOException.class, () -> connection.sendRequestEntity(request));
    // As the owner of a connection does after a failure.
    connection.close(CloseMode.GRACEFUL);

    assertFalse(receivedByPeer().endsWith("0\r\n\r\n"), "a last chunk");
  }

  @Test
  void aChunkedResponseIsNotEndedByALastChunk() throws Exception {
    ServerConnection connection = new ServerConnection(Http1Config.DEFAULT);
    connection.bind(own);
    BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
    response.setHeader("Transfer-Encoding", "chunked");
    response.setEntity(failingEntity());

    connection.sendResponseHeader(response);
    assertThrows(IOException.class, () -> connection.sendResponseEntity(response));
    // As the owner of a connection does after a failure.
    connection.close(CloseMode.GRACEFUL);

    assertFalse(receivedByPeer().endsWith("0\r\n\r\n"), "a last chunk");
  }
}
