package org.amaranthmoor.yaml;

import java.util.List;
import java.util.Map;

/**
 * One value of a YAML document, with the line it stands on.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface YamlNode {

  /** {@return the line, counted from 1} */
  int line();

  /**
   * A text, number, boolean or null, kept as text.
   *
   * @param line the line, counted from 1
   * @param text the text; empty for null
   * @param quoted whether the document marks it as a text
   */
  record Scalar(int line, String text, boolean quoted) implements YamlNode {}

  /**
   * A list.
   *
   * @param line the line, counted from 1
   * @param items the items in order
   */
  record Sequence(int line, List<YamlNode> items) implements YamlNode {
    /** Copies the items. */
    public Sequence {
      items = List.copyOf(items);
    }
  }

  /**
   * Keys with values, in the order written.
   *
   * @param line the line, counted from 1
   * @param entries the entries by key
   */
  record Mapping(int line, Map<String, Entry> entries) implements YamlNode {}

  /**
   * A value with the line of its key.
   *
   * @param keyLine the line, counted from 1
   * @param value the value
   */
  record Entry(int keyLine, YamlNode value) {}
}
