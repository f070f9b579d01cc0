package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parses the head of a message, and fails if the connection ends within it.
 *
 * <p>Not safe for use by several threads.
 *
 * @param <T> the type of the message
 */
final class CompleteHeadParser<T extends MessageHeaders> implements HttpMessageParser<T> {

  private static final byte[] STATUS_LINE_START = "HTTP/".getBytes(StandardCharsets.US_ASCII);

  private final HttpMessageParser<T> parser;
  private final UnaryOperator<SessionInputBuffer> limits;
  private Optional<SessionInputBuffer> connectionBuffer = Optional.empty();
  private boolean bytesTaken;

  CompleteHeadParser(HttpMessageParser<T> parser) {
    this(parser, UnaryOperator.identity());
  }

  /**
   * Creates a parser.
   *
   * @param parser parses the head
   * @param limits limits the buffer from which each head is read
   */
  CompleteHeadParser(HttpMessageParser<T> parser, UnaryOperator<SessionInputBuffer> limits) {
    this.parser = parser;
    this.limits = limits;
  }

  @Override
  public T parse(SessionInputBuffer buffer, InputStream in) throws IOException, HttpException {
    connectionBuffer = Optional.of(buffer);
    return parser.parse(new CompleteLineBuffer(limits.apply(buffer), true), in);
  }

  /** {@return whether bytes after the last message that was read are or were buffered} */
  boolean hasBufferedBytes() {
    return bytesTaken || (connectionBuffer.isPresent() && connectionBuffer.get().length() > 0);
  }

  /**
   * Takes the buffered bytes after the last message, after which the connection cannot be used any
   * more if there were any.
   *
   * @return whether they can be the begin of a status line; true if there are none
   */
  boolean precedesStatusLine() throws IOException {
    if (!hasBufferedBytes()) {
      return true;
    }
    bytesTaken = true;
    byte[] following = new byte[STATUS_LINE_START.length];
    int count =
        connectionBuffer.get().read(following, 0, following.length, InputStream.nullInputStream());
    return count > 0 && Arrays.equals(following, 0, count, STATUS_LINE_START, 0, count);
  }
}
