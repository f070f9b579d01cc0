package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parses the heads of requests so that no failure repeats a line of the head, which may contain a
 * key.
 *
 * <p>Rejects heads that cannot be passed on unchanged. HttpCore puts the line that it cannot parse
 * into the message of the failure, and the message into the response. Used by one thread at a time.
 */
final class RedactingHeadParser implements HttpMessageParser<ClassicHttpRequest> {

  private final HttpMessageParser<ClassicHttpRequest> parser;

  RedactingHeadParser(HttpMessageParser<ClassicHttpRequest> parser) {
    this.parser = parser;
  }

  @Override
  public ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream in)
      throws IOException, HttpException {
    try {
      ClassicHttpRequest request = parser.parse(buffer, in);
      if (request != null) {
        RequestHead.check(request);
      }
      return request;
    } catch (ParseException e) {
      throw new ParseException("a line of the request's head is not valid");
    }
  }
}
