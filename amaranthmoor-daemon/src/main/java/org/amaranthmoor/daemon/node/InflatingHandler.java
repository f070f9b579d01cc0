package org.amaranthmoor.daemon.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.compression.DecompressionException;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;

/**
 * Decompresses a raw deflate stream and passes it on in pieces.
 *
 * <p>Invariant: at most one piece of {@value #PIECE_BYTES} bytes is held, however well the received
 * bytes compress, so that neither honest data nor a decompression bomb decides how much memory is
 * used; the length of a frame is bounded by the handler after this one. Not safe for use by several
 * threads; belongs to one channel.
 */
final class InflatingHandler extends ChannelInboundHandlerAdapter {

  /** Size of a piece, in bytes. */
  static final int PIECE_BYTES = 32 * 1024;

  private static final int MIN_PIECE_BYTES = 512;

  /** Expected size of decompressed data, as a multiple of the compressed. */
  private static final int EXPECTED_RATIO = 4;

  private static final int INPUT_BYTES = 8 * 1024;

  private final Inflater inflater = new Inflater(true);
  private final byte[] input = new byte[INPUT_BYTES];

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (!(message instanceof ByteBuf received)) {
      context.fireChannelRead(message);
      return;
    }
    try {
      while (received.isReadable()) {
        int count = Math.min(input.length, received.readableBytes());
        received.readBytes(input, 0, count);
        inflater.setInput(input, 0, count);
        inflate(context);
      }
    } catch (DataFormatException e) {
      throw new DecompressionException("the link carries bytes that are not compressed", e);
    } finally {
      received.release();
    }
  }

  private void inflate(ChannelHandlerContext context) throws DataFormatException {
    int capacity;
    int count;
    do {
      capacity =
          Math.clamp((long) inflater.getRemaining() * EXPECTED_RATIO, MIN_PIECE_BYTES, PIECE_BYTES);
      ByteBuf piece = context.alloc().heapBuffer(capacity, capacity);
      count = 0;
      try {
        count = inflater.inflate(piece.array(), piece.arrayOffset(), capacity);
      } finally {
        if (count == 0) {
          piece.release();
        }
      }
      if (count > 0) {
        context.fireChannelRead(piece.writerIndex(count));
      }
      // A piece that is not full is the last one of this input.
    } while (count == capacity);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    inflater.end();
  }
}
