package org.amaranthmoor.daemon.node;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.EvacuatedZones;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.protocol.node.EvacuatedZonesState;
import org.amaranthmoor.protocol.node.Gossip;
import org.amaranthmoor.protocol.node.MemberState;

/**
 * Sends and receives gossip over UDP.
 *
 * <p>The membership protocol tolerates lost, duplicated and reordered messages. Safe for use by
 * several threads.
 */
public final class GossipSocket implements AutoCloseable {

  /** Longest time since an answer of the source that a message can state. */
  private static final Duration MAX_ANSWER_AGE = Duration.ofDays(1);

  /**
   * The state of a node's configuration, as its gossip messages announce it.
   *
   * @param node the name that the node sends; not validated
   * @param offset the offset of its configuration
   * @param readsSource whether it reads the configuration from its source and the last read
   *     succeeded
   * @param sourceAnswerAge time since the source last answered it, or empty if it does not state it
   * @param epoch the newest epoch of the source that it knows
   * @param evacuatedZones the newest evacuated zones that it has read
   */
  public record PeerConfig(
      String node,
      long offset,
      boolean readsSource,
      Optional<Duration> sourceAnswerAge,
      SourceEpoch epoch,
      EvacuatedZones.State evacuatedZones) {}

  /** Receives the state of other nodes' configurations. */
  public interface PeerConfigListener {
    /**
     * Called for each gossip message.
     *
     * @param config the state of the sender's configuration
     */
    void onPeerConfig(PeerConfig config);
  }

  private final Membership membership;
  private final PeerConfigListener peerConfigListener;
  private final SuspicionExchange suspicions;
  private final LeaveExchange leaves;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final Supplier<Channel> bind;
  private volatile Channel channel;
  private volatile boolean closing;

  /**
   * Binds the UDP port.
   *
   * @param host the IP address to bind to
   * @param port the port to bind to
   * @param group event loops of the channel
   * @param membership handles received messages and creates the messages to send
   * @param peerConfigListener receives the state of other nodes' configurations
   * @param suspicions exchanges suspicions against requests
   * @param leaves keeps the leaves of other nodes' targets
   * @param metrics counts bytes and messages that could not be handled
   * @param time the clock
   */
  public GossipSocket(
      String host,
      int port,
      EventLoopGroup group,
      Membership membership,
      PeerConfigListener peerConfigListener,
      SuspicionExchange suspicions,
      LeaveExchange leaves,
      NodeMetrics metrics,
      TimeSource time) {
    this.membership = membership;
    this.peerConfigListener = peerConfigListener;
    this.suspicions = suspicions;
    this.leaves = leaves;
    this.metrics = metrics;
    this.time = time;
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new ReceiverInitializer());
    this.bind = () -> bootstrap.bind(host, port).syncUninterruptibly().channel();
    this.channel = bind.get();
  }

  /** {@return the channel that is in use} */
  Channel channel() {
    return channel;
  }

  /**
   * Runs the membership protocol and sends the messages that are due. Opens the port again if its
   * channel has closed itself, as it does after an Error.
   */
  public void tick() {
    if (!channel.isOpen() && !closing) {
      channel = bind.get();
      metrics.countLinkFailure();
    }
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
    closing = true;
    channel.close().syncUninterruptibly();
  }

  private final class ReceiverInitializer extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel opened) {
      opened.pipeline().addLast(new Receiver());
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      byte[] bytes = ByteBufUtil.getBytes(packet.content());
      metrics.addControlBytes(bytes.length);
      try {
        Gossip gossip = withReachableAddresses(Gossip.parseFrom(bytes));
        send(membership.receive(gossip, time.nanos()));
        syncWithUnknown(gossip.getSender(), packet.sender());
        send(leaves.receive(gossip));
        send(suspicions.receive(gossip));
        peerConfigListener.onPeerConfig(peerConfig(gossip));
      } catch (InvalidProtocolBufferException e) {
        metrics.countLateFrame();
      }
    }

    // Nothing can be sent to a member without a valid address, so that one odd state would make
    // each
    // message to it fail.
    private static Gossip withReachableAddresses(Gossip gossip) {
      if (gossip.getStatesList().stream().allMatch(Receiver::hasValidAddress)) {
        return gossip;
      }
      List<MemberState> valid =
          gossip.getStatesList().stream().filter(Receiver::hasValidAddress).toList();
      return gossip.toBuilder().clearStates().addAllStates(valid).build();
    }

    // The state of an unreachable member has no address.
    private static boolean hasValidAddress(MemberState state) {
      return state.getHost().isEmpty()
          ? state.getZone().isEmpty()
          : Endpoint.parse(state.getHost() + ":" + state.getPort()).isPresent();
    }

    private static PeerConfig peerConfig(Gossip gossip) {
      return new PeerConfig(
          gossip.getSender(),
          gossip.getConfigOffset(),
          gossip.getReadsSource(),
          sourceAnswerAge(gossip),
          new SourceEpoch(Math.max(0, gossip.getSourceEpoch())),
          evacuatedZones(gossip));
    }

    private static Optional<Duration> sourceAnswerAge(Gossip gossip) {
      return Optional.of(gossip)
          .filter(message -> message.getReadsSource() && message.hasSourceAnswerAgeMillis())
          .map(Gossip::getSourceAnswerAgeMillis)
          .filter(millis -> millis >= 0 && millis <= MAX_ANSWER_AGE.toMillis())
          .map(Duration::ofMillis);
    }

    private static EvacuatedZones.State evacuatedZones(Gossip gossip) {
      if (!gossip.hasEvacuatedZones()) {
        return EvacuatedZones.State.UNREAD;
      }
      EvacuatedZonesState message = gossip.getEvacuatedZones();
      Set<ZoneName> zones = new HashSet<>();
      for (String zone : message.getZonesList()) {
        if (Names.isName(zone)) {
          zones.add(new ZoneName(zone));
        }
      }
      return new EvacuatedZones.State(
          new SourceEpoch(Math.max(0, message.getEpoch())), message.getOffset(), zones);
    }

    // Other members may know a node that has just started before it knows them.
    private void syncWithUnknown(String sender, InetSocketAddress address) {
      boolean unknown = Names.isName(sender) && membership.member(new NodeName(sender)).isEmpty();
      if (unknown) {
        String host = address.getAddress().getHostAddress();
        send(List.of(membership.syncRequest(host, address.getPort())));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram that could not be sent is treated as lost.
      metrics.countLateFrame();
    }
  }
}
