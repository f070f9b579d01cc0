package org.amaranthmoor.daemon.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.util.internal.PlatformDependent;
import java.util.function.Supplier;
import org.amaranthmoor.protocol.node.Frame;

/**
 * Initializes a channel that carries frames, each preceded by its length.
 *
 * <p>Safe for use by several threads.
 */
final class FrameChannelInitializer extends ChannelInitializer<Channel> {

  private static final int LENGTH_BYTES = 4;

  /**
   * Bytes that may wait until the peer reads them: a share of what all links together may hold
   * outside of the heap.
   */
  static final int MAX_WAITING_BYTES =
      Math.clamp(PlatformDependent.maxDirectMemory() / 16, 256 * 1024, 16 * 1024 * 1024);

  private final Supplier<ChannelHandler> compression;
  private final Supplier<ChannelHandler> decoder;
  private final Supplier<ChannelHandler> handler;

  /**
   * Creates an initializer.
   *
   * @param compression creates the handler that sets up compression and then removes itself
   * @param handler creates the handler that receives the frames
   */
  FrameChannelInitializer(Supplier<ChannelHandler> compression, Supplier<ChannelHandler> handler) {
    this(
        compression,
        () ->
            new LengthFieldBasedFrameDecoder(
                Frames.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
        handler);
  }

  /**
   * Creates an initializer.
   *
   * @param compression creates the handler that sets up compression and then removes itself
   * @param decoder creates the handler that divides what is received into frames
   * @param handler creates the handler that receives the frames
   */
  FrameChannelInitializer(
      Supplier<ChannelHandler> compression,
      Supplier<ChannelHandler> decoder,
      Supplier<ChannelHandler> handler) {
    this.compression = compression;
    this.decoder = decoder;
    this.handler = handler;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .config()
        .setWriteBufferWaterMark(
            new WriteBufferWaterMark(MAX_WAITING_BYTES / 2, MAX_WAITING_BYTES));
    channel
        .pipeline()
        .addLast(compression.get())
        .addLast(decoder.get())
        .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new ProtobufEncoder())
        .addLast(handler.get());
  }
}
