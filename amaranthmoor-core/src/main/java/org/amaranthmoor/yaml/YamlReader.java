package org.amaranthmoor.yaml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tools.jackson.core.JacksonException;
import tools.jackson.core.JsonParser;
import tools.jackson.core.JsonToken;
import tools.jackson.core.ObjectReadContext;
import tools.jackson.core.TokenStreamFactory;
import tools.jackson.core.TokenStreamLocation;
import tools.jackson.dataformat.yaml.YAMLFactory;

/**
 * Parses a YAML or JSON document into nodes with line numbers.
 *
 * <p>Rejects duplicate keys, a second document and nesting deeper than {@value #MAX_DEPTH} levels.
 * Stateless and safe for use by several threads.
 */
public final class YamlReader {

  /** Maximum number of nested levels. */
  static final int MAX_DEPTH = 16;

  // Created on first use, as a process that reads only JSON starts faster without it.
  private static final class Yaml {
    private static final TokenStreamFactory FACTORY = new YAMLFactory();
  }

  private YamlReader() {}

  /**
   * Parses a YAML document whose root is a mapping.
   *
   * @param text the document
   * @return the root, or the problems
   */
  public static ParseResult<YamlNode.Mapping> read(String text) {
    List<Problem> problems = new ArrayList<>();
    try (JsonParser parser = Yaml.FACTORY.createParser(ObjectReadContext.empty(), text)) {
      JsonToken first = parser.nextToken();
      if (first != JsonToken.START_OBJECT) {
        return new ParseResult.Invalid<>(
            List.of(new Problem(1, "", "expected keys with values at the top level")));
      }
      YamlNode.Mapping root = readMapping(parser, "", 1, problems);
      if (parser.nextToken() != null) {
        problems.add(new Problem(line(parser), "", "expected one document, but a second follows"));
      }
      return problems.isEmpty()
          ? new ParseResult.Valid<>(root)
          : new ParseResult.Invalid<>(problems);
    } catch (JacksonException e) {
      problems.add(new Problem(lineOf(e), "", "not valid YAML: " + firstLine(e)));
      return new ParseResult.Invalid<>(problems);
    }
  }

  /**
   * Parses a JSON document whose root is an object.
   *
   * @param text the document
   * @return the root, or the problems
   */
  public static ParseResult<YamlNode.Mapping> readJson(String text) {
    return JsonTreeReader.read(text);
  }

  private static YamlNode readValue(
      JsonParser parser, String path, int depth, List<Problem> problems) {
    JsonToken token = parser.currentToken();
    if (depth > MAX_DEPTH) {
      problems.add(new Problem(line(parser), path, "nested deeper than " + MAX_DEPTH + " levels"));
      int line = line(parser);
      parser.skipChildren();
      return new YamlNode.Scalar(line, "", false);
    }
    if (token == JsonToken.START_OBJECT) {
      return readMapping(parser, path, depth, problems);
    }
    if (token == JsonToken.START_ARRAY) {
      return readSequence(parser, path, depth, problems);
    }
    String text = token == JsonToken.VALUE_NULL ? "" : parser.getString();
    return new YamlNode.Scalar(line(parser), text, token == JsonToken.VALUE_STRING);
  }

  private static YamlNode.Mapping readMapping(
      JsonParser parser, String path, int depth, List<Problem> problems) {
    int line = line(parser);
    Map<String, YamlNode.Entry> entries = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.PROPERTY_NAME) {
      String key = parser.currentName();
      int keyLine = line(parser);
      String keyPath = path.isEmpty() ? key : path + "." + key;
      parser.nextToken();
      YamlNode value = readValue(parser, keyPath, depth + 1, problems);
      if (entries.putIfAbsent(key, new YamlNode.Entry(keyLine, value)) != null) {
        problems.add(new Problem(keyLine, keyPath, "the key stands twice"));
      }
    }
    return new YamlNode.Mapping(line, entries);
  }

  private static YamlNode.Sequence readSequence(
      JsonParser parser, String path, int depth, List<Problem> problems) {
    int line = line(parser);
    List<YamlNode> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(readValue(parser, path + "[" + items.size() + "]", depth + 1, problems));
    }
    return new YamlNode.Sequence(line, items);
  }

  private static int line(JsonParser parser) {
    return Math.max(1, parser.currentTokenLocation().getLineNr());
  }

  private static int lineOf(JacksonException e) {
    TokenStreamLocation location = e.getLocation();
    return location == null ? 1 : Math.max(1, location.getLineNr());
  }

  private static String firstLine(JacksonException e) {
    String message = e.getOriginalMessage();
    return message.lines().findFirst().orElse("unreadable");
  }
}
