package org.amaranthmoor.daemon.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.amaranthmoor.protocol.node.Frame;

/**
 * Receives the frames of one link until the link is lost.
 *
 * <p>Invariants: no frame is handled after a failure, which may have lost the one before it, not
 * even if it was received already; a failure ends the link and what depends on it before it is
 * reported, so that a report that fails keeps nothing. Confined to the event loop of its channel.
 */
abstract class LinkHandler extends SimpleChannelInboundHandler<Frame> {

  private boolean ended;
  private boolean failed;

  /** Handles a frame. */
  abstract void onFrame(ChannelHandlerContext context, Frame frame);

  /** Ends what depends on the link; may be called again. */
  abstract void onLost();

  /** Reports the first failure of the link. */
  abstract void onFailure(Throwable cause);

  @Override
  protected final void channelRead0(ChannelHandlerContext context, Frame frame) {
    if (!ended) {
      onFrame(context, frame);
    }
  }

  @Override
  public final void channelInactive(ChannelHandlerContext context) {
    ended = true;
    onLost();
  }

  @Override
  public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    boolean first = !failed;
    ended = true;
    failed = true;
    try {
      closeNow(context.channel());
    } finally {
      end(first, cause);
    }
  }

  private void end(boolean first, Throwable cause) {
    try {
      onLost();
    } finally {
      if (first) {
        onFailure(cause);
      }
    }
  }

  /** Closes a channel as {@link #closeNow} does, from any thread. */
  static void close(Channel channel) {
    if (channel.eventLoop().inEventLoop()) {
      closeNow(channel);
    } else {
      channel.eventLoop().execute(() -> closeNow(channel));
    }
  }

  /**
   * Closes a channel without passing the close through its handlers, of which the compression would
   * wait until the peer has read all that was sent. Called on the event loop.
   */
  static void closeNow(Channel channel) {
    boolean closed = false;
    try {
      channel.unsafe().close(channel.voidPromise());
      closed = true;
    } finally {
      if (!closed) {
        channel.unsafe().closeForcibly();
      }
    }
  }
}
