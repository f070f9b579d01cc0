package org.amaranthmoor.daemon.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.compression.JdkZlibEncoder;
import io.netty.handler.codec.compression.ZlibWrapper;
import java.util.List;

/**
 * Compresses links between availability zones, where traffic costs more than the processor time for
 * compression.
 *
 * <p>The frames of a link repeat header names, services and rules, so one compression stream per
 * link, with the frames sent before as its dictionary, saves most of the bytes. The node that opens
 * the connection decides, and announces compression by a marker: the length prefix of a frame of
 * length zero, which is never sent otherwise. Stateless; each handler belongs to one channel.
 */
final class LinkCompression {

  /** Fastest level of zlib, because most of the gain comes from repeated text. */
  private static final int ZLIB_LEVEL = 1;

  /** Length of the marker, in bytes: that of a frame's length prefix. */
  private static final int MARKER_BYTES = 4;

  private LinkCompression() {}

  /** Sends the marker when the channel is connected, and compresses everything after it. */
  static final class Initiator extends ChannelInboundHandlerAdapter {

    @Override
    public void channelActive(ChannelHandlerContext context) {
      context.write(Unpooled.wrappedBuffer(new byte[MARKER_BYTES]));
      install(context);
      context.fireChannelActive();
      context.pipeline().remove(this);
    }
  }

  /** Detects from the first bytes whether the node that opened the connection compresses. */
  static final class Detector extends ByteToMessageDecoder {

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
      if (in.readableBytes() < MARKER_BYTES) {
        return;
      }
      if (in.getInt(in.readerIndex()) == 0) {
        in.skipBytes(MARKER_BYTES);
        install(context);
      }
      // Removing a decoder passes the bytes after the marker on to the next handler.
      context.pipeline().remove(this);
    }
  }

  private static void install(ChannelHandlerContext context) {
    ChannelPipeline pipeline = context.pipeline();
    String after = context.name();
    pipeline.addAfter(after, "compress", new JdkZlibEncoder(ZlibWrapper.NONE, ZLIB_LEVEL));
    pipeline.addAfter(after, "decompress", new InflatingHandler());
  }
}
