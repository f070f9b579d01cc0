package org.amaranthmoor.daemon.http;

import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses status lines, and rejects one whose status code does not have exactly three digits. The
 * library takes the code for a number of any length, so that 0200 would be 200.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class StatusLineParser extends BasicLineParser {

  private static final int CODE_DIGITS = 3;

  @Override
  public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
    StatusLine parsed = super.parseStatusLine(line);
    int versionEnd = skip(line, skip(line, 0, true), false);
    int codeStart = skip(line, versionEnd, true);
    if (skip(line, codeStart, false) - codeStart != CODE_DIGITS) {
      throw new ParseException("the status code does not have three digits");
    }
    return parsed;
  }

  private static int skip(CharArrayBuffer line, int from, boolean blanks) {
    int position = from;
    while (position < line.length() && Character.isWhitespace(line.charAt(position)) == blanks) {
      position++;
    }
    return position;
  }
}
