package org.amaranthmoor.daemon.settings;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address with a port.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the IP address as text
 * @param port the port
 */
public record Endpoint(String host, int port) {

  // An address that is not one would be looked up as a name.
  private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";

  private static final Pattern FORMAT =
      Pattern.compile("((?:" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  /**
   * Parses an endpoint.
   *
   * @param text an IP address, a colon and a port
   * @return the endpoint, or empty if the text has another format or the port is not from 1 to
   *     65535
   */
  public static Optional<Endpoint> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int port = Integer.parseInt(matcher.group(2));
    return port >= 1 && port <= MAX_PORT
        ? Optional.of(new Endpoint(matcher.group(1), port))
        : Optional.empty();
  }

  /** {@return the endpoint as a socket address} */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
