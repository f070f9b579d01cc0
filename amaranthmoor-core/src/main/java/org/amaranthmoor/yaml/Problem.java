package org.amaranthmoor.yaml;

/**
 * A problem of a document.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param line the line, counted from 1
 * @param key the path of the key, or an empty text for the document as a whole
 * @param message what was found and what was expected
 */
public record Problem(int line, String key, String message) {

  /**
   * Formats the problem for an operator, as {@code file:line: key: message}.
   *
   * @param file the name of the file
   * @return one line of text
   */
  public String render(String file) {
    String where = key.isEmpty() ? "" : key + ": ";
    return file + ":" + line + ": " + where + message;
  }
}
