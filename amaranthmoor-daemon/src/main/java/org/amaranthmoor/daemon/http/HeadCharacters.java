package org.amaranthmoor.daemon.http;

import java.nio.charset.CharsetEncoder;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;

/**
 * The characters of the heads of messages, one for each byte. Stateless and safe for use by several
 * threads.
 */
final class HeadCharacters {

  private static final int SPACE = 0x20;
  private static final int DELETE = 0x7F;
  private static final BitSet TOKEN = new BitSet();

  static {
    TOKEN.set('0', '9' + 1);
    TOKEN.set('A', 'Z' + 1);
    TOKEN.set('a', 'z' + 1);
    "!#$%&'*+-.^_`|~".chars().forEach(TOKEN::set);
  }

  private HeadCharacters() {}

  /**
   * Creates an encoder that writes each character as the byte that was read for it. Without one,
   * HttpCore writes a question mark for a byte from 80 to 9F.
   *
   * @return the encoder, for one connection
   */
  static CharsetEncoder newEncoder() {
    return StandardCharsets.ISO_8859_1.newEncoder();
  }

  /** {@return whether the name of a field may have a character} */
  static boolean isTokenCharacter(char character) {
    return TOKEN.get(character);
  }

  /** {@return whether a text may be the name of a field} */
  static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(TOKEN::get);
  }

  /** {@return whether the value of a field may have a character} */
  static boolean isTextCharacter(int character) {
    return (character >= SPACE && character != DELETE) || character == '\t';
  }

  /** {@return whether a text may be the value of a field} */
  static boolean isText(String text) {
    return text.chars().allMatch(HeadCharacters::isTextCharacter);
  }
}
