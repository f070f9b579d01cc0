package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.Header;
import org.amaranthmoor.protocol.node.OpenCall;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LinkCompressionTests {

  private static final int CALLS = 50;

  private final List<Frame> received = new ArrayList<>();

  private static Frame call(int number) {
    OpenCall.Builder open =
        OpenCall.newBuilder()
            .setStream(number)
            .setService("lending")
            .setMethod("GET")
            .setPath("/pages/" + number)
            .setCallId(Integer.toHexString(number * 7_919))
            .setRule("r-pages");
    for (String name : List.of("Host", "Accept-Language", "Accept", "User-Agent", "Referer")) {
      open.addHeaders(Header.newBuilder().setName(name).setValue("value of " + name));
    }
    return Frame.newBuilder().setOpenCall(open).build();
  }

  /** Guards against a link that fails because honest data compresses well. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 40})
  void decodesLargeFramesThatCompressWellAndArriveTogether(int frames) {
    EmbeddedChannel entry = channel(new LinkCompression.Initiator());
    EmbeddedChannel target = channel(new LinkCompression.Detector());
    Frame frame = Frames.data(1, new byte[Frames.MAX_DATA_BYTES]);
    ByteBuf together = Unpooled.buffer();
    for (int i = 0; i < frames; i++) {
      entry.writeOutbound(frame);
    }
    ByteBuf encoded = entry.readOutbound();
    while (encoded != null) {
      together.writeBytes(encoded);
      encoded.release();
      encoded = entry.readOutbound();
    }

    target.writeInbound(together);

    for (int i = 0; i < frames; i++) {
      assertEquals(frame, target.readInbound());
    }
    entry.finishAndReleaseAll();
    target.finishAndReleaseAll();
  }

  private static EmbeddedChannel channel(ChannelHandler compression) {
    return new EmbeddedChannel(
        new FrameChannelInitializer(() -> compression, ChannelInboundHandlerAdapter::new));
  }

  // Sends the requests from one channel to the other and returns the number of bytes transferred.
  private int transfer(ChannelHandler compression) {
    EmbeddedChannel entry =
        new EmbeddedChannel(
            new FrameChannelInitializer(() -> compression, ChannelInboundHandlerAdapter::new));
    EmbeddedChannel target =
        new EmbeddedChannel(
            new FrameChannelInitializer(
                LinkCompression.Detector::new, ChannelInboundHandlerAdapter::new));
    int bytes = 0;
    for (int i = 0; i < CALLS; i++) {
      entry.writeOutbound(call(i));
      ByteBuf encoded = entry.readOutbound();
      while (encoded != null) {
        bytes += encoded.readableBytes();
        target.writeInbound(encoded);
        encoded = entry.readOutbound();
      }
    }
    Frame frame = target.readInbound();
    while (frame != null) {
      received.add(frame);
      frame = target.readInbound();
    }
    entry.finishAndReleaseAll();
    target.finishAndReleaseAll();
    return bytes;
  }

  private static List<Frame> calls() {
    List<Frame> frames = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      frames.add(call(i));
    }
    return frames;
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void decodesFramesAsSent(boolean compressed) {
    transfer(compressed ? new LinkCompression.Initiator() : new ChannelInboundHandlerAdapter());

    assertEquals(calls(), received);
  }

  @Test
  void compressesSimilarFramesToAThirdOrLess() {
    int plain = transfer(new ChannelInboundHandlerAdapter());
    int compressed = transfer(new LinkCompression.Initiator());

    assertTrue(compressed * 3 <= plain, compressed + " bytes instead of " + plain);
  }
}
