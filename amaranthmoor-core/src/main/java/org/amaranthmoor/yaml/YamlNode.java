package org.amaranthmoor.yaml;

import java.util.List;
import java.util.Map;

/**
 * A value of a YAML or JSON document with its line.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface YamlNode {

  /** {@return the line, counted from 1} */
  int line();

  /**
   * A text, number, boolean or null, represented as text.
   *
   * @param line the line, counted from 1
   * @param text the text; empty for null
   * @param isString whether the parser reports it as a string, as it does for quoted numbers
   */
  record Scalar(int line, String text, boolean isString) implements YamlNode {}

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
   * Keys with values, in the order of the document.
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
