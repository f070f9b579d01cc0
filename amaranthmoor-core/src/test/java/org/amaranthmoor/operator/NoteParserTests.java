package org.amaranthmoor.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.testing.Notes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NoteParserTests {

  private static List<Reason> reasons(String text) {
    return assertInstanceOf(NoteParseResult.Invalid.class, NoteParser.parse(text)).reasons();
  }

  @Test
  void readsAnItemOfEachKind() {
    ReleaseNote note =
        assertInstanceOf(
                NoteParseResult.Valid.class,
                NoteParser.parse(Notes.addServiceNote("first", "lending", 2)))
            .note();

    assertEquals(
        List.of("service lending", "rule lending", "target lending-1", "target lending-2"),
        note.changes().stream().map(NoteChange::label).toList());
  }

  @Nested
  class WhenTheFileIsTruncated {

    @Test
    void refusesEveryProperPrefix() {
      String whole = Notes.addServiceNote("first", "lending", 2);
      for (int length = 0; length < whole.length() - 1; length++) {
        String prefix = whole.substring(0, length);
        assertInstanceOf(
            NoteParseResult.Invalid.class, NoteParser.parse(prefix), "prefix of " + length);
      }
    }

    @Test
    void reportsTheMissingEndMark() {
      String whole = Notes.addServiceNote("first", "lending", 2);
      List<Reason> reasons = reasons(whole.replace("end: first\n", ""));

      assertEquals(Reason.Code.TRUNCATED, reasons.getFirst().code());
      assertEquals(
          "the last key must be \"end: first\"; without it the file counts as cut short",
          reasons.getFirst().message());
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          availability: 1.5       | 5 | expected a number from 0.5 to 0.999999, but found: 1.5
          deadline-millis: soon   | 5 | expected a whole number from 10 to 3600000, but found: soon
          weigh: both             | 5 | expected cost or tail, but found: both
          avialability: 0.9       | 5 | unknown key; allowed are: add, availability, builds-on, change, deadline-millis, latency-millis, latency-share, override, probes-per-second, retry-share, weigh, withdraw
          builds-on: other        | 5 | an added item builds on nothing
          override: [everything]  | 5 | expected some of stranded, withdraws-too-many, but found: everything
          """)
  void reportsTheLineAndTheProblemOfAServiceKey(String line, int number, String message) {
    List<Reason> reasons = reasons(Notes.note("n", "services:", "  - add: lending", "    " + line));

    assertEquals(number, reasons.getFirst().line());
    assertEquals(message, reasons.getFirst().message());
    assertEquals(Reason.Code.MALFORMED, reasons.getFirst().code());
  }

  @Test
  void refusesADuplicateKey() {
    List<Reason> reasons =
        reasons(
            Notes.note("n", "services:", "  - add: lending", "    weigh: cost", "    weigh: tail"));

    assertEquals("the key stands twice", reasons.getFirst().message());
    assertEquals(6, reasons.getFirst().line());
  }

  @Test
  void refusesANewerFormatWithoutReadingTheRest() {
    List<Reason> reasons = reasons("format: 2\nnote: n\nwhatever: 1\nend: n\n");

    assertEquals(1, reasons.size());
    assertEquals(Reason.Code.FORMAT, reasons.getFirst().code());
  }

  @Test
  void refusesANoteThatChangesNothing() {
    assertEquals("the note changes nothing", reasons(Notes.note("n")).getFirst().message());
  }

  @ParameterizedTest
  @CsvSource({"'a: [1, 2', 1", "'- a', 1", "'a: 1\n---\nb: 2', 2"})
  void refusesADocumentWhoseRootIsNotAMapping(String text, int line) {
    List<Reason> reasons = reasons(text);

    assertEquals(Reason.Code.MALFORMED, reasons.getFirst().code());
  }
}
