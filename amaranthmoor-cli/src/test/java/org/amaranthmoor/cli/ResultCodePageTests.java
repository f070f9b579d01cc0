package org.amaranthmoor.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.model.ResultCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ResultCodePageTests {

  private static String page() throws IOException {
    return Files.readString(Path.of("../docs/RESULT-CODES.md"));
  }

  @ParameterizedTest
  @EnumSource(ResultCode.class)
  void thePageListsEachResultCode(ResultCode code) throws IOException {
    String outcome =
        switch (code.kind()) {
          case NOT_RUN, INVALID -> "not run";
          case UNKNOWN -> "unknown";
          case ANSWERED -> "answered";
        };
    String row =
        String.format(
            Locale.ROOT, "| %d | %s | %s | %d |", code.number(), code, outcome, code.httpStatus());

    assertTrue(page().contains(row), row);
  }

  @ParameterizedTest
  @EnumSource(Reason.Code.class)
  void thePageListsEachReason(Reason.Code code) throws IOException {
    String row = "| " + code.number() + " | " + code + " |";

    assertTrue(page().contains(row), row);
  }
}
