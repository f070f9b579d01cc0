package org.amaranthmoor.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.amaranthmoor.model.NodeName;
import org.junit.jupiter.api.Test;

class NoticeCacheTests {

  private static final NodeName NODE = new NodeName("n1");
  private static final TargetRun FIRST = new TargetRun("i-1", 1_000);
  private static final TargetRun SECOND = new TargetRun("i-1", 2_000);

  private final NoticeCache notices = new NoticeCache();

  private static RunNotice limited(TargetRun run, double rate) {
    return new RunNotice(run, new TargetNotice(new TargetNotice.Limit.Rate(rate), false));
  }

  private static RunNotice unlimited(TargetRun run, boolean leaving) {
    return new RunNotice(run, new TargetNotice(new TargetNotice.Limit.Unstated(), leaving));
  }

  @Test
  void aLimitRestrictsUntilItHasEnded() {
    notices.onNotice(NODE, limited(FIRST, 3));
    assertEquals(Optional.of(limited(FIRST, 3)), notices.restriction(NODE));

    notices.onNotice(NODE, unlimited(FIRST, false));
    assertEquals(Optional.empty(), notices.restriction(NODE));
  }

  @Test
  void aLeavingRunStaysLeaving() {
    notices.onNotice(NODE, unlimited(FIRST, true));
    notices.onNotice(NODE, limited(FIRST, 3));

    assertEquals(
        Optional.of(new RunNotice(FIRST, new TargetNotice(new TargetNotice.Limit.Rate(3), true))),
        notices.restriction(NODE));
  }

  @Test
  void aLaterRunReplacesAnEarlierOneAndNotTheReverse() {
    notices.onNotice(NODE, unlimited(FIRST, true));
    notices.onNotice(NODE, limited(SECOND, 3));
    notices.onNotice(NODE, unlimited(FIRST, true));

    assertEquals(Optional.of(limited(SECOND, 3)), notices.restriction(NODE));
  }
}
