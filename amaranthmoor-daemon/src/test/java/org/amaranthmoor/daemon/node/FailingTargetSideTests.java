package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.target.LocalTarget;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an Error on a request's thread that leaves its caller without an outcome. */
class FailingTargetSideTests {

  private static final int BODY_BYTES = CallResponse.MAX_BUFFERED_BYTES + 1;

  private static String response(int bytes) {
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
        + bytes
        + "\r\n\r\n"
        + "x".repeat(bytes);
  }

  // Each call of the method throws while the flag is set.
  private static LocalTarget failing(LocalTarget target, String failing, AtomicBoolean fails) {
    return (LocalTarget)
        Proxy.newProxyInstance(
            LocalTarget.class.getClassLoader(),
            new Class<?>[] {LocalTarget.class},
            (proxy, method, arguments) -> {
              if (fails.get() && method.getName().equals(failing)) {
                throw new OutOfMemoryError("injected");
              }
              try {
                return method.invoke(target, arguments);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }

  private static Class<?> kind(Outcome<CallResponse> outcome) {
    return outcome.getClass();
  }

  // A request that was not handed over is fenced, so that it never runs.
  @ParameterizedTest
  @CsvSource({
    "refusalCode, 1, false",
    "destination, 1, false",
    "onExchangeEnd, 1, true",
    "newestRun, 1, true",
    "newestRun, " + BODY_BYTES + ", true"
  })
  void theRequestEndsAsUnknownOnceHandedOverAndTheNextOneIsServed(
      String method, int bytes, boolean handedOver) throws Exception {
    AtomicBoolean fails = new AtomicBoolean(true);
    try (LinkedNodes nodes =
        new LinkedNodes(
            LinkedNodes.FrameFilter.NONE,
            LinkedNodes.FrameFilter.NONE,
            response(bytes),
            target -> failing(target, method, fails),
            new ByteBudget(LinkedNodes.UNUSED_BYTES),
            new ByteBudget(LinkedNodes.UNUSED_BYTES))) {

      Class<?> expected = handedOver ? Outcome.Unknown.class : Outcome.NotRun.class;
      assertEquals(expected, kind(LinkedNodes.await(nodes.open(true))));
      fails.set(false);
      assertInstanceOf(
          Outcome.Answered.class, LinkedNodes.await(nodes.open(true)), "the next request");
    }
  }
}
