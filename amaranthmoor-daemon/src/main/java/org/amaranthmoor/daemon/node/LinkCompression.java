package org.amaranthmoor.daemon.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.compression.JdkZlibDecoder;
import io.netty.handler.codec.compression.JdkZlibEncoder;
import io.netty.handler.codec.compression.ZlibWrapper;
import java.util.List;

/**
 * Compresses links between availability zones, where bytes cost more than the time to compress
 * them.
 *
 * <p>Frames of a link resemble each other: header names, services and rules come again and again,
 * and what was sent before serves as the dictionary. The node that connects decides, and announces
 * it by a frame of length zero, which is no frame otherwise. Stateless; each handler belongs to one
 * channel.
 */
final class LinkCompression {

  /** Level of zlib: the fastest one, as most of the gain comes from what is repeated. */
  private static final int ZLIB_LEVEL = 1;

  /** Largest piece that is decompressed at once, in bytes. */
  private static final int MAX_DECOMPRESSED_BYTES = 64 * 1024;

  /** Bytes of the announcement: the length of a frame. */
  private static final int MARKER_BYTES = 4;

  private LinkCompression() {}

  /** Announces compression as soon as the channel is connected, and compresses from then on. */
  static final class Initiator extends ChannelInboundHandlerAdapter {

    @Override
    public void channelActive(ChannelHandlerContext context) {
      context.write(Unpooled.wrappedBuffer(new byte[MARKER_BYTES]));
      install(context);
      context.fireChannelActive();
      context.pipeline().remove(this);
    }
  }

  /** Finds out from the first bytes whether the node that has connected compresses. */
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
      // What has arrived after the announcement is passed on by the removal.
      context.pipeline().remove(this);
    }
  }

  private static void install(ChannelHandlerContext context) {
    ChannelPipeline pipeline = context.pipeline();
    String after = context.name();
    pipeline.addAfter(after, "compress", new JdkZlibEncoder(ZlibWrapper.NONE, ZLIB_LEVEL));
    pipeline.addAfter(
        after, "decompress", new JdkZlibDecoder(ZlibWrapper.NONE, MAX_DECOMPRESSED_BYTES));
  }
}
