package org.amaranthmoor.yaml;

/**
 * One thing that is wrong with a document.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param line the line, counted from 1
 * @param key the path of the key, or an empty text for the document as a whole
 * @param message what was found and what is allowed
 */
public record Problem(int line, String key, String message) {

  /**
   * Renders the problem for an operator.
   *
   * @param file the file's name
   * @return one line of text
   */
  public String render(String file) {
    String where = key.isEmpty() ? "" : key + ": ";
    return file + ":" + line + ": " + where + message;
  }
}
