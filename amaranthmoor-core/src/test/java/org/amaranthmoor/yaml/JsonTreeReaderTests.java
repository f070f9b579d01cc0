package org.amaranthmoor.yaml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against documents that are read as something else than they are in JSON. */
class JsonTreeReaderTests {

  private static YamlNode.Mapping root(String text) {
    return switch (YamlReader.readJson(text)) {
      case ParseResult.Valid<YamlNode.Mapping> valid -> valid.value();
      case ParseResult.Invalid<YamlNode.Mapping> invalid ->
          throw new AssertionError(invalid.problems());
    };
  }

  private static Section section(String text) {
    return new Section(root(text), "", new ArrayList<>());
  }

  private static List<Problem> problems(String text) {
    return YamlReader.readJson(text) instanceof ParseResult.Invalid<YamlNode.Mapping> invalid
        ? invalid.problems()
        : List.of();
  }

  @Test
  void valuesOfAllKindsAreRead() {
    Section section =
        section(
            """
            {"text":"a\\"\\u00e9","number":12345678901234567,"decimal":1e3,"flag":true,"none":null,
             "list":["x","y"],"child":{"key":"value"},"children":[{"n":1},{}]}""");

    assertEquals("a\"\u00e9", section.text("text"));
    assertEquals(12345678901234567L, section.requiredNumber("number", 0, Long.MAX_VALUE));
    assertEquals(1_000, section.decimal("decimal", 0, 0, 2_000));
    assertEquals(true, section.flag("flag", false));
    assertEquals(List.of("x", "y"), section.texts("list"));
    assertEquals("value", section.section("child").orElseThrow().text("key"));
    assertEquals(2, section.sections("children").size());
    assertEquals(List.of(), section("{\"a\":[]}").texts("a"));
  }

  @ParameterizedTest
  @CsvSource({"'{\"a\":\"1\"}', true", "'{\"a\":1}', false", "'{\"a\":true}', false"})
  void aQuotedValueIsAString(String text, boolean expected) {
    YamlNode value = root(text).entries().get("a").value();

    assertEquals(expected, assertInstanceOf(YamlNode.Scalar.class, value).isString());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "{\"a\":}",
        "{\"a\":1,}",
        "{'a':1}",
        "{a:1}",
        "{\"a\":NaN}",
        "{\"a\":01}",
        "{\"a\":1} {}",
        "[1]",
        "7",
        "\u0000",
        "{\"a\":1,\"a\":2}",
        "{\"a\":\"\u0001\"}"
      })
  void aTextThatIsNotOneObjectIsInvalid(String text) {
    assertEquals(1, problems(text).size());
  }

  @Test
  void tooDeepNestingIsInvalid() {
    String text = "{\"a\":".repeat(40) + "1" + "}".repeat(40);

    assertEquals("nested deeper than 16 levels", problems(text).getFirst().message());
  }

  @Test
  void aProblemNamesTheLine() {
    assertEquals(3, problems("{\n \"a\": 1,\n \"b\": oops\n}\n").getFirst().line());
    assertEquals(3, problems("{\n \"a\": 1,\n \"a\": 2\n}\n").getFirst().line());
  }

  @Test
  void aNodeKnowsItsLine() {
    List<Problem> problems = new ArrayList<>();
    YamlNode.Mapping root = root("{\n \"a\": 1,\n\n \"b\": 2\n}\n");
    new Section(root, "", problems).number("b", 0, 5, 6);

    assertEquals(4, problems.getFirst().line());
  }
}
