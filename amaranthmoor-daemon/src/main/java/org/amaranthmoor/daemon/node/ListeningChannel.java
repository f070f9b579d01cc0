package org.amaranthmoor.daemon.node;

import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * A server channel that stays open when a connection cannot be accepted, whatever the reason;
 * Netty's own closes itself for good after an Error.
 */
class ListeningChannel extends NioServerSocketChannel {

  @Override
  protected boolean closeOnReadError(Throwable cause) {
    return !isActive();
  }
}
