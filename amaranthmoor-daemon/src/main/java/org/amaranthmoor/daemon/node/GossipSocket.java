package org.amaranthmoor.daemon.node;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.protocol.node.Gossip;

/**
 * Sends and receives gossip over UDP.
 *
 * <p>Lost, repeated and reordered messages do no harm. Safe for use by several threads.
 */
public final class GossipSocket implements AutoCloseable {

  /**
   * What a node states of its configuration.
   *
   * @param node the node, as it names itself
   * @param offset the offset of its configuration
   * @param readsSource whether it reads configurations from their source, which answers it
   * @param epoch the newest epoch of that source that it knows
   */
  public record PeerConfig(String node, long offset, boolean readsSource, SourceEpoch epoch) {}

  /** Receives what other nodes state of their configuration. */
  public interface PeerConfigListener {
    /**
     * A node stated its configuration.
     *
     * @param config what it config
     */
    void onPeerConfig(PeerConfig config);
  }

  private final Membership membership;
  private final PeerConfigListener peerConfigListener;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final Channel channel;

  /**
   * Opens the port.
   *
   * @param host the IP address to listen at
   * @param port the port to listen at
   * @param group event loops of the channel
   * @param membership takes messages and decides what to send
   * @param peerConfigListener is told what other nodes say of their configuration
   * @param metrics counts bytes
   * @param time the time
   */
  public GossipSocket(
      String host,
      int port,
      EventLoopGroup group,
      Membership membership,
      PeerConfigListener peerConfigListener,
      NodeMetrics metrics,
      TimeSource time) {
    this.membership = membership;
    this.peerConfigListener = peerConfigListener;
    this.metrics = metrics;
    this.time = time;
    this.channel =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
  }

  /** Does what is due and sends the messages. */
  public void tick() {
    send(membership.tick(time.nanos()));
  }

  /**
   * Sends messages.
   *
   * @param messages the messages
   */
  public void send(List<Membership.Outgoing> messages) {
    for (Membership.Outgoing message : messages) {
      byte[] bytes = message.message().toByteArray();
      metrics.addControlBytes(bytes.length);
      InetSocketAddress to = new InetSocketAddress(message.host(), message.port());
      channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
    }
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      byte[] bytes = ByteBufUtil.getBytes(packet.content());
      metrics.addControlBytes(bytes.length);
      try {
        Gossip gossip = Gossip.parseFrom(bytes);
        send(membership.receive(gossip, time.nanos()));
        syncWithUnknown(gossip.getSender(), packet.sender());
        peerConfigListener.onPeerConfig(peerConfig(gossip));
      } catch (InvalidProtocolBufferException e) {
        metrics.countLateFrame();
      }
    }

    private static PeerConfig peerConfig(Gossip gossip) {
      return new PeerConfig(
          gossip.getSender(),
          gossip.getConfigOffset(),
          gossip.getReadsSource(),
          new SourceEpoch(Math.max(0, gossip.getSourceEpoch())));
    }

    // A node that has just started may be known to others before it knows them.
    private void syncWithUnknown(String sender, InetSocketAddress address) {
      boolean unknown = Names.isName(sender) && membership.member(new NodeName(sender)).isEmpty();
      if (unknown) {
        String host = address.getAddress().getHostAddress();
        send(List.of(membership.syncRequest(host, address.getPort())));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram that could not be sent counts as lost.
      metrics.countLateFrame();
    }
  }
}
