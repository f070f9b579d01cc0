package org.amaranthmoor.model;

import java.util.regex.Pattern;

/**
 * Checks the syntax of names, such as those of nodes and services.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Names {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

  /** Description of a valid name, for error messages. */
  public static final String FORMAT =
      "1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or digit";

  private Names() {}

  /**
   * Returns whether the text is a valid name.
   *
   * @param text the text to check, or null
   * @return true if the text follows {@link #FORMAT}
   */
  public static boolean isName(String text) {
    return text != null && NAME.matcher(text).matches();
  }

  static void requireName(String what, String text) {
    if (!isName(text)) {
      throw new IllegalArgumentException(what + " must be " + FORMAT + ", but was: " + text);
    }
  }
}
