package org.amaranthmoor.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.amaranthmoor.yaml.ParseResult;
import org.amaranthmoor.yaml.Problem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeSettingsReaderTests {

  private static final String VALID =
      """
      node: n1
      zone: kochi
      region: kerala
      host: 127.0.0.1
      caller-port: 7000
      node-port: 7001
      admin-port: 7002
      platform: 127.0.0.1:8000
      target:
        name: lending-1
        address: 127.0.0.1:9000
      """;

  @Test
  void usesDefaultsForMissingKeys() {
    NodeSettings settings =
        assertInstanceOf(
            NodeSettings.class,
            assertInstanceOf(ParseResult.Valid.class, NodeSettingsReader.read(VALID)).value());

    assertEquals(60_000, settings.drainLimitMillis());
    assertEquals(6, settings.target().slots());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          zone: kochi              | zonee: kochi             | 2 | zonee    | unknown key
          host: 127.0.0.1          | host: localhost          | 4 | host     | expected an IP address
          caller-port: 7000        | caller-port: 70000       | 5 | caller-port | expected a whole number from 1 to 65535
          caller-port: 7000        | caller-port: 7001        | 5 | caller-port | must differ
          platform: 127.0.0.1:8000 | platform: here           | 8 | platform | expected an IP address with a port
          name: lending-1          | name: bad name           | 10 | target.name | expected 1 to 64
          """)
  void reportsLineAndKeyOfInvalidSetting(
      String valid, String invalidText, int line, String key, String message) {
    ParseResult.Invalid<?> invalid =
        assertInstanceOf(
            ParseResult.Invalid.class, NodeSettingsReader.read(VALID.replace(valid, invalidText)));

    Problem problem =
        invalid.problems().stream().filter(p -> p.key().equals(key)).findFirst().orElseThrow();
    assertEquals(line, problem.line());
    assertEquals(true, problem.message().contains(message), problem.message());
  }
}
