package org.amaranthmoor.yaml;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses one JSON document into nodes with line numbers.
 *
 * <p>A node reads JSON before it is ready, so this parser avoids the initialization of decimal
 * arithmetic, which other parsers cause. Confined to one thread.
 */
final class JsonTreeReader {

  private final LineReader lines;
  private final JsonReader json;
  private final List<Problem> problems = new ArrayList<>();

  private JsonTreeReader(String text) {
    this.lines = new LineReader(text);
    this.json = new JsonReader(lines);
    json.setStrictness(Strictness.STRICT);
  }

  /** {@return the root of a document, or its problems} */
  static ParseResult<YamlNode.Mapping> read(String text) {
    return new JsonTreeReader(text).readDocument();
  }

  private ParseResult<YamlNode.Mapping> readDocument() {
    try {
      if (json.peek() != JsonToken.BEGIN_OBJECT) {
        return new ParseResult.Invalid<>(
            List.of(new Problem(1, "", "expected keys with values at the top level")));
      }
      YamlNode.Mapping root = readMapping("", 1);
      if (json.peek() != JsonToken.END_DOCUMENT) {
        problems.add(new Problem(line(), "", "expected one document, but a second follows"));
      }
      return problems.isEmpty()
          ? new ParseResult.Valid<>(root)
          : new ParseResult.Invalid<>(problems);
    } catch (IOException e) {
      problems.add(new Problem(line(), "", "not valid JSON: " + firstLine(e)));
      return new ParseResult.Invalid<>(problems);
    }
  }

  private YamlNode readValue(String path, int depth) throws IOException {
    JsonToken token = json.peek();
    int line = line();
    if (depth > YamlReader.MAX_DEPTH) {
      problems.add(
          new Problem(line, path, "nested deeper than " + YamlReader.MAX_DEPTH + " levels"));
      json.skipValue();
      return new YamlNode.Scalar(line, "", false);
    }
    return switch (token) {
      case BEGIN_OBJECT -> readMapping(path, depth);
      case BEGIN_ARRAY -> readSequence(path, depth);
      case STRING -> new YamlNode.Scalar(line, json.nextString(), true);
      case NUMBER -> new YamlNode.Scalar(line, json.nextString(), false);
      case BOOLEAN -> new YamlNode.Scalar(line, Boolean.toString(json.nextBoolean()), false);
      case NULL -> {
        json.nextNull();
        yield new YamlNode.Scalar(line, "", false);
      }
      case END_ARRAY, END_OBJECT, NAME, END_DOCUMENT ->
          throw new IOException("expected a value, but found " + token);
    };
  }

  private YamlNode.Mapping readMapping(String path, int depth) throws IOException {
    json.beginObject();
    int line = line();
    Map<String, YamlNode.Entry> entries = new LinkedHashMap<>();
    while (json.hasNext()) {
      int keyLine = line();
      String key = json.nextName();
      String keyPath = path.isEmpty() ? key : path + "." + key;
      YamlNode value = readValue(keyPath, depth + 1);
      if (entries.putIfAbsent(key, new YamlNode.Entry(keyLine, value)) != null) {
        problems.add(new Problem(keyLine, keyPath, "the key stands twice"));
      }
    }
    json.endObject();
    return new YamlNode.Mapping(line, entries);
  }

  private YamlNode.Sequence readSequence(String path, int depth) throws IOException {
    json.beginArray();
    int line = line();
    List<YamlNode> items = new ArrayList<>();
    while (json.hasNext()) {
      items.add(readValue(path + "[" + items.size() + "]", depth + 1));
    }
    json.endArray();
    return new YamlNode.Sequence(line, items);
  }

  private int line() {
    return Math.max(1, lines.count);
  }

  private static String firstLine(IOException e) {
    return String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
  }

  // Returns at most one line per read, so that the number of lines read is that of the last token.
  private static final class LineReader extends Reader {

    private final String text;
    private int position;
    private int count;

    private LineReader(String text) {
      this.text = text;
    }

    @Override
    public int read(char[] buffer, int offset, int length) {
      if (position == text.length()) {
        return -1;
      }
      if (position == 0 || text.charAt(position - 1) == '\n') {
        count++;
      }
      int newline = text.indexOf('\n', position);
      int lineEnd = newline < 0 ? text.length() : newline + 1;
      int end = Math.min(lineEnd, position + length);
      text.getChars(position, end, buffer, offset);
      int charsRead = end - position;
      position = end;
      return charsRead;
    }

    @Override
    public void close() {
      position = text.length();
    }
  }
}
