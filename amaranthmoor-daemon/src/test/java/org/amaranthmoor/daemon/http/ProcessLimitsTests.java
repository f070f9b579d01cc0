package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against a limit of descriptors that is misread or ignored. */
class ProcessLimitsTests {

  private static final String LIMITS =
      """
      Limit                     Soft Limit           Hard Limit           Units
      Max processes             63432                63432                processes
      Max open files            %s                 524288               files
      Max locked memory         8388608              8388608              bytes
      """;

  @Test
  void readsTheSoftLimitOfDescriptors() {
    assertEquals(OptionalLong.of(1_024), ProcessLimits.parse(LIMITS.formatted("1024")));
  }

  @Test
  void anUnlimitedOrMissingLimitIsUnknown() {
    assertEquals(OptionalLong.empty(), ProcessLimits.parse(LIMITS.formatted("unlimited")));
    assertEquals(OptionalLong.empty(), ProcessLimits.parse(""));
  }
}
