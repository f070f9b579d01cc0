package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;
import org.amaranthmoor.model.TimeSource;
import org.junit.jupiter.api.Test;

// A full heap ended the event loop of a node, and with it all links to other nodes and gossip.
class EventLoopsTests {

  private static final long TIMEOUT_SECONDS = 10;

  /** A handler whose first run fails. */
  private record FailingOnce(IoHandler handler, CountDownLatch failed) implements IoHandler {
    @Override
    public int run(IoHandlerContext context) {
      if (failed.getCount() > 0) {
        failed.countDown();
        throw new OutOfMemoryError("test");
      }
      return handler.run(context);
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      return handler.register(handle);
    }

    @Override
    public void wakeup() {
      handler.wakeup();
    }

    @Override
    public void destroy() {
      handler.destroy();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
      return handler.isCompatible(handleType);
    }
  }

  @Test
  void anErrorDuringInputDoesNotEndTheEventLoop() throws InterruptedException {
    CountDownLatch failed = new CountDownLatch(1);
    FailureLoggingRunner failures =
        new FailureLoggingRunner(new EventLog(System.getLogger("test"), TimeSource.system()));
    EventLoopGroup group =
        EventLoops.create(
            executor -> new FailingOnce(NioIoHandler.newFactory().newHandler(executor), failed),
            failures);
    try {
      group.execute(() -> {});
      assertTrue(failed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));

      // A loop that ended needs a moment until it refuses tasks.
      assertFalse(group.awaitTermination(1, TimeUnit.SECONDS));

      CountDownLatch ran = new CountDownLatch(1);
      group.execute(ran::countDown);
      assertTrue(ran.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
  }
}
