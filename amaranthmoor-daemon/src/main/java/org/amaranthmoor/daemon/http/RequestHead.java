package org.amaranthmoor.daemon.http;

import java.net.URI;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequestFactory;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Creates requests whose target is the one that was received, and rejects heads that cannot be
 * passed on unchanged. Stateless and safe for use by several threads.
 */
final class RequestHead {

  /**
   * Creates requests for the parser. HttpCore would take a path that begins with two slashes for
   * the name of a host, and cut a path at a number sign.
   */
  static final HttpRequestFactory<ClassicHttpRequest> FACTORY =
      new HttpRequestFactory<>() {
        @Override
        public ClassicHttpRequest newHttpRequest(String method, String target) {
          return target.startsWith("/")
              ? new BasicClassicHttpRequest(method, null, null, target)
              : new BasicClassicHttpRequest(method, target);
        }

        @Override
        public ClassicHttpRequest newHttpRequest(String method, URI uri) {
          return new BasicClassicHttpRequest(method, uri);
        }
      };

  private RequestHead() {}

  /**
   * Checks that a head can be passed on.
   *
   * @param request the request
   * @throws ParseException if it has a control character, or a field whose name is not a token
   */
  static void check(ClassicHttpRequest request) throws ParseException {
    boolean valid = HeadCharacters.isText(request.getMethod() + request.getRequestUri());
    for (Header header : request.getHeaders()) {
      valid &= HeadCharacters.isToken(header.getName());
      valid &= header.getValue() == null || HeadCharacters.isText(header.getValue());
    }
    if (!valid) {
      throw new ParseException("the request's head has a character that is not allowed there");
    }
  }
}
