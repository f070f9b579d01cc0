package org.amaranthmoor.daemon.node;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;

/** Creates the event loop of a node. Stateless and safe for use by several threads. */
public final class EventLoops {

  private EventLoops() {}

  /**
   * Creates a group of one event loop, which continues after an {@link Error}.
   *
   * @param failures logs the errors
   * @return the group
   */
  public static EventLoopGroup create(FailureLoggingRunner failures) {
    return create(NioIoHandler.newFactory(), failures);
  }

  static EventLoopGroup create(IoHandlerFactory factory, FailureLoggingRunner failures) {
    return new MultiThreadIoEventLoopGroup(
        1, executor -> new ErrorTolerantIoHandler(factory.newHandler(executor), failures));
  }
}
