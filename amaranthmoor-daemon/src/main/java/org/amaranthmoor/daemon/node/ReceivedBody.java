package org.amaranthmoor.daemon.node;

import org.amaranthmoor.daemon.exchange.BodyPipe;
import org.amaranthmoor.protocol.node.Data;

/**
 * Passes the body that arrives in the messages of one stream on to its reader.
 *
 * <p>Invariant: the body ends well only if it has as many bytes as its last message states; a
 * sender of an earlier build states none. Confined to the event loop.
 */
final class ReceivedBody {

  private final BodyPipe pipe;
  private long receivedBytes;

  ReceivedBody(BodyPipe pipe) {
    this.pipe = pipe;
  }

  void onData(Data data) {
    receivedBytes += data.getBytes().size();
    pipe.offer(data.getBytes().toByteArray());
    if (!data.getLast()) {
      return;
    }
    if (Frames.totalBytes(data).orElse(receivedBytes) == receivedBytes) {
      pipe.finish();
    } else {
      pipe.fail("a part of the body was lost between two nodes");
    }
  }
}
