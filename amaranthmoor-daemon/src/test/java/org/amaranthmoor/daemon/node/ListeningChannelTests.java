package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a node that takes no links for good as the first Error has closed its port. */
class ListeningChannelTests {

  private static final long TIMEOUT_SECONDS = 10;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void aPortAcceptsConnectionsAfterAnError() throws Exception {
    AtomicBoolean failed = new AtomicBoolean();
    CountDownLatch accepted = new CountDownLatch(1);
    Channel server =
        new ServerBootstrap()
            .group(group)
            .channelFactory(
                () ->
                    new ListeningChannel() {
                      @Override
                      protected int doReadMessages(List<Object> connections) throws Exception {
                        if (failed.compareAndSet(false, true)) {
                          throw new OutOfMemoryError("injected");
                        }
                        return super.doReadMessages(connections);
                      }
                    })
            .childHandler(
                new ChannelInboundHandlerAdapter() {
                  @Override
                  public void channelActive(ChannelHandlerContext context) {
                    accepted.countDown();
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), 0)
            .sync()
            .channel();
    InetSocketAddress address = (InetSocketAddress) server.localAddress();

    try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
      assertTrue(accepted.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), caller.toString());
    }
    assertTrue(failed.get());
  }
}
