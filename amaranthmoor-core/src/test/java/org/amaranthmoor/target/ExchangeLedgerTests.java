package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amaranthmoor.target.ExchangeLedger.ConnectionId;
import org.amaranthmoor.target.ExchangeLedger.Settlement;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ExchangeLedgerTests {

  private static final ConnectionId CONNECTION = new ConnectionId("n1", 1, 1);

  private final ExchangeLedger ledger = new ExchangeLedger();

  ExchangeLedgerTests() {
    ledger.onConnected(CONNECTION);
  }

  @Test
  void aSettledRequestThatArrivesLaterIsNeverHandedOver() {
    assertEquals(Settlement.FENCED, ledger.settle(CONNECTION, 7));

    assertFalse(ledger.register(CONNECTION, 7).commit());
  }

  @Test
  void aRequestHandedOverIsNeverSettledAsFenced() {
    assertTrue(ledger.register(CONNECTION, 7).commit());

    assertEquals(Settlement.HANDED_OVER, ledger.settle(CONNECTION, 7));
  }

  @Test
  void aWaitingRequestIsFencedBySettlement() {
    HandOver waiting = ledger.register(CONNECTION, 7);

    assertEquals(Settlement.FENCED, ledger.settle(CONNECTION, 7));
    assertFalse(waiting.commit());
  }

  @Test
  void settlingTwiceGivesTheSameAnswer() {
    assertEquals(Settlement.FENCED, ledger.settle(CONNECTION, 7));
    assertEquals(Settlement.FENCED, ledger.settle(CONNECTION, 7));
  }

  @Test
  void anUnknownConnectionCannotBeSettled() {
    assertEquals(Settlement.UNKNOWN, ledger.settle(new ConnectionId("n1", 1, 2), 7));
  }

  @Test
  void aRequestOnAnUnknownConnectionIsFenced() {
    assertFalse(ledger.register(new ConnectionId("n1", 1, 2), 7).commit());
  }

  @Nested
  class WhenStreamsAreForgotten {

    @Test
    void aForgottenStreamIsUnknownNotFenced() {
      for (long stream = 1; stream <= ExchangeLedger.MAX_STREAMS_PER_CONNECTION + 10; stream++) {
        ledger.register(CONNECTION, stream).commit();
      }

      assertEquals(Settlement.UNKNOWN, ledger.settle(CONNECTION, 1));
    }

    @Test
    void aWaitingStreamIsNotForgotten() {
      HandOver waiting = ledger.register(CONNECTION, 1);
      for (long stream = 2; stream <= ExchangeLedger.MAX_STREAMS_PER_CONNECTION + 10; stream++) {
        ledger.register(CONNECTION, stream).commit();
      }

      assertEquals(Settlement.FENCED, ledger.settle(CONNECTION, 1));
      assertFalse(waiting.commit());
    }
  }

  @Nested
  class WhenTheConnectionIsClosed {

    @Test
    void itsStreamsCanStillBeSettled() {
      ledger.register(CONNECTION, 7).commit();
      ledger.onDisconnected(CONNECTION, 0);

      assertEquals(Settlement.HANDED_OVER, ledger.settle(CONNECTION, 7));
    }

    @Test
    void itIsUnknownAfterTheRetentionTime() {
      ledger.onDisconnected(CONNECTION, 0);
      ledger.onDisconnected(new ConnectionId("n2", 1, 1), ExchangeLedger.RETAIN_NANOS + 1);

      assertEquals(Settlement.UNKNOWN, ledger.settle(CONNECTION, 7));
    }
  }
}
