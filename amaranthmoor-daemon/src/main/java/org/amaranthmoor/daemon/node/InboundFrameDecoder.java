package org.amaranthmoor.daemon.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;

/**
 * Divides what another node sends into frames, within the memory of {@link PartialFrames}.
 *
 * <p>Invariant: until the sender has said which node it is, no long frame is received. Not safe for
 * use by several threads; belongs to one channel.
 */
final class InboundFrameDecoder extends LengthFieldBasedFrameDecoder {

  private static final int LENGTH_BYTES = 4;

  /** Largest frame of a sender that has not said which node it is, in bytes. */
  private static final int MAX_FIRST_FRAME_BYTES = 4 * 1024;

  private final PartialFrames partialFrames;
  private boolean longFramesAllowed;
  // Whether a frame was complete since the memory was recorded.
  private boolean completed;

  InboundFrameDecoder(PartialFrames partialFrames) {
    super(Frames.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    this.partialFrames = partialFrames;
  }

  /** Records that the sender has said which node it is. */
  void allowLongFrames() {
    longFramesAllowed = true;
  }

  @Override
  protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
    long bytes = super.getUnadjustedFrameLength(buffer, offset, length, order);
    if (!longFramesAllowed && bytes > MAX_FIRST_FRAME_BYTES) {
      throw new TooLongFrameException("the first frame has " + bytes + " bytes");
    }
    return bytes;
  }

  @Override
  protected Object decode(ChannelHandlerContext context, ByteBuf buffer) throws Exception {
    Object frame = super.decode(context, buffer);
    completed = completed || frame != null;
    return frame;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    super.channelRead(context, message);
    if (!context.isRemoved()) {
      account(context);
    }
  }

  private void account(ChannelHandlerContext context) {
    long bytes = actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    boolean begun = completed;
    completed = false;
    if (!partialFrames.hold(context.channel(), bytes, begun)) {
      throw new TooLongFrameException("the node has no room for more of a frame");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    partialFrames.remove(context.channel());
    super.channelInactive(context);
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
    partialFrames.remove(context.channel());
    super.handlerRemoved0(context);
  }
}
