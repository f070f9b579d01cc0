package org.amaranthmoor.yaml;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reads the keys of one mapping and collects every problem instead of stopping at the first.
 *
 * <p>A getter that finds a problem returns a fallback so that further problems are found. The
 * values may be used only if the list of problems is empty. Confined to one thread.
 */
public final class Section {

  private final YamlNode.Mapping mapping;
  private final String path;
  private final List<Problem> problems;
  private final Set<String> requestedKeys = new HashSet<>();

  /**
   * Creates a reader of one mapping.
   *
   * @param mapping the mapping
   * @param path the path of the mapping, empty for the root
   * @param problems the list that problems are added to
   */
  public Section(YamlNode.Mapping mapping, String path, List<Problem> problems) {
    this.mapping = mapping;
    this.path = path;
    this.problems = problems;
  }

  /** {@return the line of the mapping, counted from 1} */
  public int line() {
    return mapping.line();
  }

  /**
   * Returns the line of a key, or of the mapping if the key is absent.
   *
   * @param key the key
   * @return the line, counted from 1
   */
  public int lineOf(String key) {
    YamlNode.Entry entry = mapping.entries().get(key);
    return entry == null ? mapping.line() : entry.keyLine();
  }

  /**
   * Returns whether a key is present.
   *
   * @param key the key
   * @return whether it is present
   */
  public boolean has(String key) {
    return mapping.entries().containsKey(key);
  }

  /**
   * Returns a reader of the same mapping that collects its problems elsewhere.
   *
   * @param others receives its problems
   * @return the reader
   */
  public Section collectingIn(List<Problem> others) {
    return new Section(mapping, path, others);
  }

  /**
   * Adds a problem at a key.
   *
   * @param key the key
   * @param message what was found and what was expected
   */
  public void problem(String key, String message) {
    problems.add(new Problem(lineOf(key), pathOf(key), message));
  }

  /**
   * Reads a required text.
   *
   * @param key the key
   * @return the text, or an empty text after a problem
   */
  public String text(String key) {
    Optional<String> value = optionalText(key);
    if (value.isEmpty() && !has(key)) {
      problem(key, "the key is missing");
    }
    return value.orElse("");
  }

  /**
   * Reads an optional text.
   *
   * @param key the key
   * @return the text, or empty if absent or after a problem
   */
  public Optional<String> optionalText(String key) {
    requestedKeys.add(key);
    YamlNode.Entry entry = mapping.entries().get(key);
    if (entry == null) {
      return Optional.empty();
    }
    if (entry.value() instanceof YamlNode.Scalar scalar && !scalar.text().isEmpty()) {
      return Optional.of(scalar.text());
    }
    problem(key, "expected a value");
    return Optional.empty();
  }

  /**
   * Reads a required text and parses it.
   *
   * @param key the key
   * @param parser returns empty for an invalid text
   * @param allowed the allowed values, for the message
   * @param fallback returned after a problem
   * @param <T> the type of the value
   * @return the value
   */
  public <T> T parsed(
      String key, Function<String, Optional<T>> parser, String allowed, T fallback) {
    String text = text(key);
    if (text.isEmpty()) {
      return fallback;
    }
    Optional<T> value = parser.apply(text);
    if (value.isEmpty()) {
      problem(key, "expected " + allowed + ", but found: " + text);
    }
    return value.orElse(fallback);
  }

  /**
   * Reads an optional whole number, or returns a default if the key is absent.
   *
   * @param key the key
   * @param fallback the default, also returned after a problem
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @return the number
   */
  public long number(String key, long fallback, long min, long max) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    Optional<Long> value = parseLong(text.get());
    if (value.isEmpty() || value.get() < min || value.get() > max) {
      problem(
          key, "expected a whole number from " + min + " to " + max + ", but found: " + text.get());
      return fallback;
    }
    return value.get();
  }

  /**
   * Reads a required whole number, which must not be quoted in the document.
   *
   * @param key the key
   * @param min the smallest allowed value, returned after a problem
   * @param max the largest allowed value
   * @return the number
   */
  public long requiredNumber(String key, long min, long max) {
    YamlNode.Entry entry = mapping.entries().get(key);
    boolean nonString =
        entry != null && entry.value() instanceof YamlNode.Scalar s && !s.isString();
    if (!nonString) {
      requestedKeys.add(key);
      problem(key, "expected a whole number from " + min + " to " + max);
      return min;
    }
    return number(key, min, min, max);
  }

  /**
   * Reads an optional decimal number, or returns a default if the key is absent.
   *
   * @param key the key
   * @param fallback the default, also returned after a problem
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @return the number
   */
  public double decimal(String key, double fallback, double min, double max) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    Optional<Double> value = parseDouble(text.get());
    if (value.isEmpty() || !(value.get() >= min && value.get() <= max)) {
      problem(key, "expected a number from " + min + " to " + max + ", but found: " + text.get());
      return fallback;
    }
    return value.get();
  }

  /**
   * Reads an optional boolean, or returns a default if the key is absent.
   *
   * @param key the key
   * @param fallback the default, also returned after a problem
   * @return the value
   */
  public boolean flag(String key, boolean fallback) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    if (!text.get().equals("true") && !text.get().equals("false")) {
      problem(key, "expected true or false, but found: " + text.get());
      return fallback;
    }
    return text.get().equals("true");
  }

  /**
   * Reads a list of texts, which is empty if the key is absent.
   *
   * @param key the key
   * @return the texts
   */
  public List<String> texts(String key) {
    List<String> texts = new ArrayList<>();
    for (YamlNode item : items(key)) {
      if (item instanceof YamlNode.Scalar scalar && !scalar.text().isEmpty()) {
        texts.add(scalar.text());
      } else {
        problems.add(new Problem(item.line(), pathOf(key), "expected a list of plain values"));
      }
    }
    return texts;
  }

  /**
   * Reads a list of mappings, which is empty if the key is absent.
   *
   * @param key the key
   * @return one reader for each mapping
   */
  public List<Section> sections(String key) {
    List<Section> sections = new ArrayList<>();
    int index = 0;
    for (YamlNode item : items(key)) {
      String itemPath = pathOf(key) + "[" + index + "]";
      if (item instanceof YamlNode.Mapping child) {
        sections.add(new Section(child, itemPath, problems));
      } else {
        problems.add(new Problem(item.line(), itemPath, "expected keys with values"));
      }
      index++;
    }
    return sections;
  }

  /**
   * Reads an optional nested mapping.
   *
   * @param key the key
   * @return a reader of the mapping, or empty if absent or after a problem
   */
  public Optional<Section> section(String key) {
    requestedKeys.add(key);
    YamlNode.Entry entry = mapping.entries().get(key);
    if (entry == null) {
      return Optional.empty();
    }
    if (entry.value() instanceof YamlNode.Mapping child) {
      return Optional.of(new Section(child, pathOf(key), problems));
    }
    problem(key, "expected keys with values");
    return Optional.empty();
  }

  /** Adds a problem for each key that no getter has read. */
  public void rejectUnknownKeys() {
    for (String key : mapping.entries().keySet()) {
      if (!requestedKeys.contains(key)) {
        problem(
            key, "unknown key; allowed are: " + String.join(", ", new TreeSet<>(requestedKeys)));
      }
    }
  }

  private List<YamlNode> items(String key) {
    requestedKeys.add(key);
    YamlNode.Entry entry = mapping.entries().get(key);
    if (entry == null) {
      return List.of();
    }
    if (entry.value() instanceof YamlNode.Sequence sequence) {
      return sequence.items();
    }
    problem(key, "expected a list");
    return List.of();
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private static Optional<Long> parseLong(String text) {
    try {
      return Optional.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static Optional<Double> parseDouble(String text) {
    try {
      return Optional.of(Double.parseDouble(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
