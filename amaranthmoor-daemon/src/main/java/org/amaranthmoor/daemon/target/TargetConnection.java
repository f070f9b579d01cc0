package org.amaranthmoor.daemon.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Optional;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * One connection to the target.
 *
 * <p>Used by one thread at a time; {@link #abort} may be called by any thread.
 */
final class TargetConnection extends DefaultBHttpClientConnection {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Socket socket;
  private final Endpoint address;
  private Optional<SessionInputBuffer> buffer = Optional.empty();
  private long idleSinceNanos;

  private TargetConnection(Socket socket, Endpoint address) {
    super(Http1Config.DEFAULT);
    this.socket = socket;
    this.address = address;
  }

  static TargetConnection open(Endpoint address, long connectNanos) throws IOException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.connect(address.socketAddress(), (int) Math.max(1, connectNanos / NANOS_PER_MILLI));
      TargetConnection connection = new TargetConnection(socket, address);
      connection.bind(socket);
      return connection;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  @Override
  protected InputStream createContentInputStream(
      long length, SessionInputBuffer inBuffer, InputStream inputStream) {
    buffer = Optional.of(inBuffer);
    return super.createContentInputStream(length, inBuffer, inputStream);
  }

  /** {@return whether nothing has arrived that belongs to no request} */
  boolean isClean() {
    try {
      boolean buffered = buffer.isPresent() && buffer.get().length() > 0;
      return isOpen() && !buffered && socket.getInputStream().available() == 0;
    } catch (IOException e) {
      return false;
    }
  }

  Endpoint address() {
    return address;
  }

  void setTimeoutNanos(long nanos) {
    setSocketTimeout(Timeout.ofMilliseconds(Math.max(1, nanos / NANOS_PER_MILLI)));
  }

  void idleSince(long nanos) {
    idleSinceNanos = nanos;
  }

  long idleSince() {
    return idleSinceNanos;
  }

  void abort() {
    close(CloseMode.IMMEDIATE);
  }
}
