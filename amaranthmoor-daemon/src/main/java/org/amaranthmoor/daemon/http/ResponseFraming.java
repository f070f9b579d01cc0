package org.amaranthmoor.daemon.http;

import java.util.Iterator;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.MessageSupport;

/**
 * Checks that the head of a response states where its body ends. Stateless and safe for use by
 * several threads.
 */
final class ResponseFraming {

  /** The library accepts a sign, which no valid length has. */
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  private ResponseFraming() {}

  /**
   * Checks the head of a response that has a body.
   *
   * @param response the head
   * @throws MalformedResponseException if it is not certain where the body ends
   */
  static void check(HttpResponse response) throws MalformedResponseException {
    Header[] lengths = response.getHeaders(HttpHeaders.CONTENT_LENGTH);
    for (Header length : lengths) {
      if (!LENGTH.matcher(length.getValue()).matches()) {
        throw new MalformedResponseException("the response's length is not a number");
      }
    }
    boolean framed = lengths.length > 0 || response.containsHeader(HttpHeaders.TRANSFER_ENCODING);
    if (!framed && staysOpen(response)) {
      throw new MalformedResponseException(
          "the response has no length, but its connection stays open");
    }
  }

  // Only the end of the connection ends a body without a length.
  private static boolean staysOpen(HttpResponse response) {
    return !hasConnectionOption(response, "close")
        && (response.containsHeader(HttpHeaders.KEEP_ALIVE)
            || hasConnectionOption(response, "keep-alive"));
  }

  private static boolean hasConnectionOption(HttpResponse response, String option) {
    Iterator<String> options = MessageSupport.iterateTokens(response, HttpHeaders.CONNECTION);
    while (options.hasNext()) {
      if (options.next().equalsIgnoreCase(option)) {
        return true;
      }
    }
    return false;
  }
}
