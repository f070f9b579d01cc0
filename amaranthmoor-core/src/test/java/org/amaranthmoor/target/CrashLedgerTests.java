package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.amaranthmoor.model.RequestFingerprint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against two failures: a request that crashes one target after another and is never
 * refused, and a request that is refused although it was merely in progress at crashes.
 */
class CrashLedgerTests {

  private static final String PATH = "/p/1";
  private static final RequestFingerprint REQUEST = fingerprint(PATH, "");
  private static final long SECOND = 1_000_000_000L;

  private final CrashLedger ledger = new CrashLedger();
  private long now;

  private static RequestFingerprint fingerprint(String path, String body) {
    return RequestFingerprint.of("GET", path, "front", body.getBytes(StandardCharsets.US_ASCII));
  }

  private Suspicion suspicion(CrashLedger of) {
    return of.suspicion(PATH, () -> REQUEST, now);
  }

  private boolean quarantined(CrashLedger in) {
    return in.quarantineLeftMillis(PATH, () -> REQUEST, now).isPresent();
  }

  /** Crashes targets one after another, each time with a request that was handed over later. */
  private void crashInTurn(CrashLedger at, int times) {
    for (int i = 0; i < times; i++) {
      at.onCrash(REQUEST, suspicion(at), now);
      now += SECOND;
    }
  }

  @Test
  void aRequestAtTwoCrashesMayBeHandedOver() {
    crashInTurn(ledger, 2);

    assertFalse(quarantined(ledger));
  }

  @Test
  void aRequestAtThreeCrashesInTurnIsQuarantined() {
    crashInTurn(ledger, 3);

    assertTrue(quarantined(ledger));
    assertEquals(1, ledger.quarantinedCount(now));
  }

  @Test
  void otherBodiesCallersAndMethodsAreNotQuarantined() {
    crashInTurn(ledger, 3);

    List<RequestFingerprint> others =
        List.of(
            fingerprint(PATH, "x"),
            RequestFingerprint.of("GET", PATH, "other", new byte[0]),
            RequestFingerprint.of("HEAD", PATH, "front", new byte[0]));
    for (RequestFingerprint other : others) {
      assertTrue(ledger.quarantineLeftMillis(PATH, () -> other, now).isEmpty());
    }
  }

  @Test
  void noFingerprintIsComputedForAnotherPath() {
    crashInTurn(ledger, 3);
    AtomicInteger computed = new AtomicInteger();

    ledger.suspicion(
        "/p/2",
        () -> {
          computed.incrementAndGet();
          return REQUEST;
        },
        now);

    assertEquals(0, computed.get());
  }

  @Test
  void targetsThatCrashTogetherCountAsOne() {
    Suspicion atHandOver = suspicion(ledger);
    for (int i = 0; i < 10; i++) {
      ledger.onCrash(REQUEST, atHandOver, now);
    }

    assertEquals(new Suspicion(0, 1), suspicion(ledger));
  }

  @Test
  void anAnswerBetweenCrashesClearsTheRequest() {
    for (int i = 0; i < 5; i++) {
      crashInTurn(ledger, 2);
      ledger.onAnswered(PATH, () -> REQUEST, now);
    }

    assertFalse(quarantined(ledger));
  }

  @Test
  void anAnswerLiftsTheQuarantine() {
    crashInTurn(ledger, 3);

    assertTrue(ledger.onAnswered(PATH, () -> REQUEST, now));

    assertFalse(quarantined(ledger));
  }

  @Test
  void aCrashAfterAnAnswerElsewhereCountsAsTheFirst() {
    crashInTurn(ledger, 2);
    Suspicion atHandOver = suspicion(ledger);
    ledger.onAnswered(PATH, () -> REQUEST, now);

    ledger.onCrash(REQUEST, atHandOver, now);

    assertEquals(new Suspicion(1, 1), suspicion(ledger));
  }

  @Test
  void aQuarantineEndsAndIsTwiceAsLongAfterAFurtherCrash() {
    crashInTurn(ledger, 3);
    assertQuarantineEndsAfter(CrashLedger.FIRST_QUARANTINE_NANOS);

    crashInTurn(ledger, 1);
    assertQuarantineEndsAfter(2 * CrashLedger.FIRST_QUARANTINE_NANOS);
  }

  // The last crash was one second ago.
  private void assertQuarantineEndsAfter(long nanos) {
    now += nanos - 2 * SECOND;
    assertTrue(quarantined(ledger));
    now += SECOND;
    assertFalse(quarantined(ledger));
  }

  @Test
  void nothingIsRememberedAfterTheRetention() {
    crashInTurn(ledger, 3);
    now += CrashLedger.RETENTION_NANOS;

    assertEquals(List.of(), ledger.suspects(Integer.MAX_VALUE, now));
    assertEquals(0, ledger.hash(now));
  }

  @Test
  void theNumberOfRequestsIsBoundedAndQuarantinedOnesStay() {
    crashInTurn(ledger, 3);
    for (int i = 0; i < 3 * CrashLedger.MAX_REQUESTS; i++) {
      now++;
      ledger.onCrash(fingerprint("/q/" + i, ""), Suspicion.NONE, now);
    }

    assertEquals(CrashLedger.MAX_REQUESTS, ledger.suspects(Integer.MAX_VALUE, now).size());
    assertTrue(quarantined(ledger));
  }

  @Nested
  class AtSeveralNodes {

    private final List<CrashLedger> ledgers =
        IntStream.range(0, 3).mapToObj(i -> new CrashLedger()).toList();

    private void exchangeAll() {
      for (CrashLedger from : ledgers) {
        for (CrashLedger to : ledgers) {
          to.merge(from.suspects(Integer.MAX_VALUE, now), now);
        }
      }
    }

    @Test
    void crashesAtDifferentTargetsAddUp() {
      for (CrashLedger at : ledgers) {
        crashInTurn(at, 1);
        exchangeAll();
      }

      assertTrue(ledgers.stream().allMatch(CrashLedgerTests.this::quarantined));
    }

    @Test
    void anAnswerAtOneNodeClearsTheRequestAtAll() {
      crashInTurn(ledgers.get(0), 3);
      exchangeAll();
      ledgers.get(1).onAnswered(PATH, () -> REQUEST, now);
      exchangeAll();

      assertTrue(ledgers.stream().noneMatch(CrashLedgerTests.this::quarantined));
    }

    @Test
    void hashesAreEqualOnceAllHaveMergedAndDifferBefore() {
      crashInTurn(ledgers.get(0), 1);
      ledgers.get(1).onCrash(fingerprint("/p/2", ""), Suspicion.NONE, now);
      assertNotEquals(ledgers.get(0).hash(now), ledgers.get(1).hash(now));
      exchangeAll();

      assertEquals(1, ledgers.stream().map(at -> at.hash(now)).distinct().count());
    }

    @Test
    void anExchangedSuspicionExpiresAtTheSameTimeEverywhere() {
      crashInTurn(ledgers.get(0), 3);
      for (int i = 0; i < 5; i++) {
        now += CrashLedger.RETENTION_NANOS / 5;
        exchangeAll();
      }

      for (CrashLedger at : ledgers) {
        assertEquals(List.of(), at.suspects(Integer.MAX_VALUE, now));
      }
    }
  }
}
