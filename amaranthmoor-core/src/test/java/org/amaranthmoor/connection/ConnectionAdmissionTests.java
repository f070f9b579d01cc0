package org.amaranthmoor.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against connections that take the memory or the descriptors of the whole node. */
class ConnectionAdmissionTests {

  private static final long MEBIBYTE = 1 << 20;

  @ParameterizedTest
  @CsvSource({
    "0, false, 0, ACCEPT",
    "9, false, 0, ACCEPT",
    "9, true, 2, ACCEPT",
    "10, true, 0, REPLACE_IDLE",
    "10, true, 2, REPLACE_IDLE",
    "11, true, 0, REPLACE_IDLE",
    "10, false, 0, REFUSE",
    "10, false, 1, REFUSE",
    "10, false, 2, DROP",
    "11, false, 3, DROP",
  })
  void decidesByTheNumbersOfConnections(
      int accepted, boolean idleAvailable, int refusals, ConnectionAdmission.Decision expected) {
    assertEquals(
        expected, new ConnectionAdmission(10, 2).decide(accepted, idleAvailable, refusals));
  }

  @ParameterizedTest
  @ValueSource(longs = {20, 40, 128, 1024})
  void connectionsOfAllPortsLeaveHalfOfTheHeap(long mebibytes) {
    long heap = mebibytes * MEBIBYTE;
    ConnectionAdmission callers = ConnectionAdmission.forCallers(heap, OptionalLong.empty());
    ConnectionAdmission control = ConnectionAdmission.forControl(heap);

    assertTrue(callers.capacity() > 10 * control.capacity());
    assertTrue(bytes(callers) + 3 * bytes(control) <= heap / 2);
  }

  private static long bytes(ConnectionAdmission limits) {
    return limits.capacity() * ConnectionAdmission.CONNECTION_BYTES
        + limits.maxRefusals() * ConnectionAdmission.REFUSAL_BYTES;
  }

  @Test
  void callersLeaveDescriptorsForTheirRequests() {
    int capacity = ConnectionAdmission.forCallers(1 << 30, OptionalLong.of(1_000)).capacity();

    assertEquals(400, capacity);
  }

  @Test
  void aTinyHeapStillAllowsSomeConnections() {
    assertEquals(8, ConnectionAdmission.forControl(MEBIBYTE).capacity());
    assertEquals(8, ConnectionAdmission.forControl(MEBIBYTE).maxRefusals());
  }

  @Test
  void rejectsLimitsThatAllowNoConnection() {
    assertThrows(IllegalArgumentException.class, () -> new ConnectionAdmission(0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ConnectionAdmission(1, -1));
  }
}
