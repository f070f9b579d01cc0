package org.amaranthmoor.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amaranthmoor.model.Priority;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.testing.Notes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTests {

  private static final ClusterState STATE =
      Notes.fold(
          Notes.noteRecord(
              "n",
              Notes.note(
                  "n",
                  "services:",
                  "  - add: s",
                  "rules:",
                  "  - add: wide",
                  "    service: s",
                  "    path-prefix: /a",
                  "    calls:",
                  "      - path-prefix: /page",
                  "        methods: [GET]",
                  "        priority: browse",
                  "      - path-prefix: /order",
                  "        idempotent: true",
                  "        priority: critical",
                  "  - add: narrow",
                  "    service: s",
                  "    path-prefix: /a/b",
                  "  - add: named",
                  "    service: s",
                  "    host: books.example",
                  "    path-prefix: /",
                  "targets:",
                  "  - add: t",
                  "    service: s")));
  private static final RouteTable TABLE = new RouteTable(STATE.rules().values(), STATE.services());

  @ParameterizedTest
  @CsvSource({
    "x, /a, wide",
    "x, /a/, wide",
    "x, /a?q=/a/b, wide",
    "x, /a/b, narrow",
    "x, /a/b/c, narrow",
    "x, /a/bc, wide",
    "books.example, /a/b, named",
    "BOOKS.example:8080, /zzz, named"
  })
  void theMostSpecificRuleWins(String host, String path, String rule) {
    assertEquals(rule, TABLE.find("GET", host, path).orElseThrow().rule().value());
  }

  @ParameterizedTest
  @CsvSource({"x, /", "x, /ab", "x, /b"})
  void aPathOutsideEveryRuleHasNoRoute(String host, String path) {
    assertTrue(TABLE.find("GET", host, path).isEmpty());
  }

  @ParameterizedTest
  @CsvSource({
    "GET, true",
    "HEAD, true",
    "PUT, true",
    "DELETE, true",
    "POST, false",
    "PATCH, false"
  })
  void methodsGiveTheDefaultIdempotency(String method, boolean idempotent) {
    assertEquals(idempotent, TABLE.find(method, "x", "/a/other").orElseThrow().idempotent());
  }

  @Test
  void theFirstMatchingCallKindApplies() {
    assertEquals(Priority.BROWSE, TABLE.find("GET", "x", "/a/page/1").orElseThrow().priority());
    assertTrue(TABLE.find("POST", "x", "/a/order").orElseThrow().idempotent());
    assertFalse(TABLE.find("POST", "x", "/a/page/1").orElseThrow().idempotent());
  }
}
