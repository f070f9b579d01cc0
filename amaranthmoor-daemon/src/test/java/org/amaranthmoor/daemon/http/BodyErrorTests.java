package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.io.CloseMode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a body that an {@link Error} has ended and which the peer takes for whole. */
class BodyErrorTests {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int BODY_BYTES = 50_000;
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  /** What fails for want of memory. */
  enum Fault {
    /** The source of the body. */
    READ,
    /** The source of the body, and then the first attempt to close the connection. */
    READ_AND_CLOSE,
    /** The connection, while the body is written to it. */
    WRITE
  }

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

  // JUnit ends the run if a test throws an OutOfMemoryError.
  private static final class HeapFullError extends VirtualMachineError {
    HeapFullError() {
      super("injected");
    }
  }

  /** Passes everything on, except for what fails by an error. */
  private static final class FailingSocket extends Socket {

    private final Socket socket;
    private final Fault fault;
    private boolean closeHasFailed;
    private boolean resetHasFailed;
    private int writtenBytes;

    FailingSocket(Socket socket, Fault fault) {
      this.socket = socket;
      this.fault = fault;
    }

    @Override
    public void close() throws IOException {
      if (fault == Fault.READ_AND_CLOSE && !closeHasFailed) {
        closeHasFailed = true;
        throw new HeapFullError();
      }
      socket.close();
    }

    @Override
    public void setSoLinger(boolean on, int linger) throws SocketException {
      if (fault == Fault.READ_AND_CLOSE && writtenBytes > 0 && !resetHasFailed) {
        resetHasFailed = true;
        throw new HeapFullError();
      }
      socket.setSoLinger(on, linger);
    }

    @Override
    public InputStream getInputStream() throws IOException {
      return socket.getInputStream();
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
      return new FilterOutputStream(socket.getOutputStream()) {
        @Override
        public void write(byte[] bytes, int offset, int count) throws IOException {
          // Once, as the heap may have room again when the body is ended.
          if (fault == Fault.WRITE
              && writtenBytes < BODY_BYTES / 2
              && writtenBytes + count >= BODY_BYTES / 2) {
            writtenBytes += count;
            throw new HeapFullError();
          }
          writtenBytes += count;
          out.write(bytes, offset, count);
        }
      };
    }
  }

  private static InputStream source(Fault fault) {
    if (fault == Fault.WRITE) {
      return new ByteArrayInputStream(new byte[BODY_BYTES]);
    }
    return new FilterInputStream(new ByteArrayInputStream(new byte[BODY_BYTES])) {
      @Override
      public int read(byte[] buffer, int offset, int length) throws IOException {
        int count = super.read(buffer, offset, length);
        if (count < 0) {
          throw new HeapFullError();
        }
        return count;
      }
    };
  }

  /**
   * {@return what the peer has received before the end of the connection}
   *
   * @throws IOException if the connection is reset
   */
  private String receivedByPeer() throws IOException {
    return new String(peer.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  private String receivedByPeerOrReset() {
    try {
      return receivedByPeer();
    } catch (SocketException e) {
      return "";
    } catch (IOException e) {
      throw new AssertionError("the connection was not ended", e);
    }
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void aChunkedResponseIsNotEndedByALastChunk(Fault fault) throws Exception {
    ServerConnection connection = new ServerConnection(Http1Config.DEFAULT);
    connection.bind(new FailingSocket(own, fault));
    BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
    response.setHeader("Transfer-Encoding", "chunked");
    response.setEntity(new InputStreamEntity(source(fault), -1, null));

    connection.sendResponseHeader(response);
    assertThrows(HeapFullError.class, () -> connection.sendResponseEntity(response));
    connection.close(CloseMode.GRACEFUL);

    assertFalse(receivedByPeerOrReset().endsWith(LAST_CHUNK), "a last chunk");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void aChunkedRequestIsNotEndedByALastChunk(Fault fault) throws Exception {
    ClientConnection connection = new ClientConnection();
    connection.bind(new FailingSocket(own, fault));
    BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/");
    request.setHeader("Transfer-Encoding", "chunked");
    request.setEntity(new InputStreamEntity(source(fault), -1, null));

    connection.sendRequestHeader(request);
    assertThrows(HeapFullError.class, () -> connection.sendRequestEntity(request));
    own.close();

    assertFalse(receivedByPeerOrReset().endsWith(LAST_CHUNK), "a last chunk");
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void aResponseWithoutALengthIsEndedByAReset(Fault fault) throws Exception {
    ServerConnection connection = new ServerConnection(Http1Config.DEFAULT);
    connection.bind(new FailingSocket(own, fault));
    BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
    response.setHeader("Connection", "close");
    response.setEntity(new InputStreamEntity(source(fault), -1, null));

    connection.sendResponseHeader(response);
    assertThrows(HeapFullError.class, () -> connection.sendResponseEntity(response));
    connection.close(CloseMode.GRACEFUL);

    assertThrows(SocketException.class, this::receivedByPeer);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aWholeResponseIsEnded(boolean chunked) throws Exception {
    ServerConnection connection = new ServerConnection(Http1Config.DEFAULT);
    connection.bind(own);
    BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
    if (chunked) {
      response.setHeader("Transfer-Encoding", "chunked");
    }
    response.setEntity(
        new InputStreamEntity(new ByteArrayInputStream(new byte[BODY_BYTES]), -1, null));

    connection.sendResponseHeader(response);
    connection.sendResponseEntity(response);
    connection.flush();
    connection.close(CloseMode.GRACEFUL);

    String received = receivedByPeer();
    assertTrue(received.length() > BODY_BYTES, "the body");
    assertEquals(chunked, received.endsWith(LAST_CHUNK), "a last chunk");
  }

  // Otherwise the peer waits, or takes the next message for the rest of the body.
  @Test
  void aResponseWhoseSourceEndsBeforeItsLengthEndsTheConnection() throws Exception {
    ServerConnection connection = new ServerConnection(Http1Config.DEFAULT);
    connection.bind(own);
    BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
    response.setHeader("Content-Length", Integer.toString(BODY_BYTES));
    response.setEntity(
        new InputStreamEntity(
            new ByteArrayInputStream(new byte[BODY_BYTES - 1]), BODY_BYTES, null));

    connection.sendResponseHeader(response);
    assertThrows(IOException.class, () -> connection.sendResponseEntity(response));

    assertFalse(connection.isOpen());
  }

  // Otherwise the target waits, or takes the next request for the rest of the body.
  @Test
  void aRequestWhoseSourceEndsBeforeItsLengthEndsTheConnection() throws Exception {
    ClientConnection connection = new ClientConnection();
    connection.bind(own);
    BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/");
    request.setHeader("Content-Length", Integer.toString(BODY_BYTES));
    request.setEntity(
        new InputStreamEntity(
            new ByteArrayInputStream(new byte[BODY_BYTES - 1]), BODY_BYTES, null));

    connection.sendRequestHeader(request);
    assertThrows(IOException.class, () -> connection.sendRequestEntity(request));

    assertFalse(connection.isOpen());
  }

  @Test
  void aConnectionWhoseCloseHasFailedIsClosedByTheNextClose() throws Exception {
    ServerConnection connection = new ServerConnection(Http1Config.DEFAULT);
    connection.bind(new FailingSocket(own, Fault.READ_AND_CLOSE));
    connection.sendResponseHeader(new BasicClassicHttpResponse(204));

    try {
      connection.close(CloseMode.IMMEDIATE);
    } catch (HeapFullError e) {
      // The first close fails.
    }
    connection.close(CloseMode.GRACEFUL);

    assertTrue(own.isClosed());
  }
}
