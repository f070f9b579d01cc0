package org.amaranthmoor.daemon.target;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.Iterator;
import java.util.regex.Pattern;
import org.amaranthmoor.daemon.http.ClientConnection;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.apache.hc.core5.http.HeaderElement;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.message.MessageSupport;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * A connection to the target.
 *
 * <p>Used by one thread at a time; {@link #abort} may be called by any thread.
 */
final class TargetConnection extends ClientConnection {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final Pattern WHOLE_SECONDS = Pattern.compile("[0-9]{1,6}");

  /**
   * Part of the advertised idle timeout within which a connection is reused: the target starts its
   * timer earlier, and a request takes time to arrive.
   */
  private static final double USABLE_IDLE_RATIO = 0.8;

  private final Socket socket;
  private final Endpoint address;
  private long idleSinceNanos;
  private boolean kept;
  private long advertisedIdleNanos = Long.MAX_VALUE;

  private TargetConnection(Socket socket, Endpoint address) {
    this.socket = socket;
    this.address = address;
  }

  static TargetConnection open(Endpoint address, long connectTimeoutNanos) throws IOException {
    Socket socket = new Socket();
    boolean opened = false;
    try {
      socket.setTcpNoDelay(true);
      socket.connect(
          address.socketAddress(), (int) Math.max(1, connectTimeoutNanos / NANOS_PER_MILLI));
      TargetConnection connection = new TargetConnection(socket, address);
      connection.bind(socket);
      opened = true;
      return connection;
    } finally {
      if (!opened) {
        socket.close();
      }
    }
  }

  /**
   * Returns whether no process listens at an address.
   *
   * @param address the address
   * @param timeoutNanos longest time to wait, in nanoseconds
   * @return whether a connection was refused; false if it was accepted or there was no response
   */
  static boolean isRefused(Endpoint address, long timeoutNanos) {
    try (Socket socket = new Socket()) {
      socket.connect(address.socketAddress(), (int) Math.max(1, timeoutNanos / NANOS_PER_MILLI));
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      // A timeout or a failure on this side does not show that the process has ended.
      return false;
    }
  }

  /** {@return whether the connection is open and has received no bytes outside of a response} */
  boolean isReusable() {
    try {
      return isOpen() && !hasBufferedBytes() && socket.getInputStream().available() == 0;
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

  void setIdleSinceNanos(long nanos) {
    idleSinceNanos = nanos;
    kept = true;
  }

  /** {@return whether the connection has carried an earlier exchange} */
  boolean kept() {
    return kept;
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Reads the idle timeout that the target advertises in a Keep-Alive header, if any. */
  void readKeepAlive(HttpMessage response) {
    Iterator<HeaderElement> parameters = MessageSupport.iterate(response, KEEP_ALIVE);
    while (parameters.hasNext()) {
      HeaderElement parameter = parameters.next();
      String value = parameter.getValue();
      if (parameter.getName().equalsIgnoreCase("timeout")
          && value != null
          && WHOLE_SECONDS.matcher(value).matches()) {
        advertisedIdleNanos = Long.parseLong(value) * NANOS_PER_SECOND;
      }
    }
  }

  /** {@return the longest idle time after which the connection is reused, in nanoseconds} */
  long maxIdleNanos() {
    return (long) (advertisedIdleNanos * USABLE_IDLE_RATIO);
  }

  void abort() {
    close(CloseMode.IMMEDIATE);
  }
}
