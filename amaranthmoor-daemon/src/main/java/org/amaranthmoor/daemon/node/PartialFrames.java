package org.amaranthmoor.daemon.node;

import io.netty.channel.Channel;
import io.netty.util.internal.PlatformDependent;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.model.TimeSource;

/**
 * The account of the memory of frames that have not arrived whole, over all connections of other
 * nodes.
 *
 * <p>If there is no room for more of a frame, the connection whose frame has been incomplete for
 * longest is closed. Invariant: the bytes that are held exceed the capacity only until the
 * connections that were closed for it have released theirs. Safe for use by several threads.
 */
final class PartialFrames {

  /** Time within which a node that is not paused sends the rest of a frame, in nanoseconds. */
  private static final long GRACE_NANOS = 1_000_000_000L;

  private static final int DIRECT_MEMORY_DIVISOR = 4;

  private record Holding(long bytes, long sinceNanos) {}

  private final long capacity;
  private final TimeSource time;
  private final Map<Channel, Holding> holdings = new LinkedHashMap<>();
  private long used;

  PartialFrames(long capacity, TimeSource time) {
    this.capacity = capacity;
    this.time = time;
  }

  /** Creates an account of a share of the memory outside of the heap. */
  static PartialFrames ofProcess(TimeSource time) {
    long share = PlatformDependent.maxDirectMemory() / DIRECT_MEMORY_DIVISOR;
    return new PartialFrames(Math.max(share, 2L * Frames.MAX_FRAME_BYTES), time);
  }

  /**
   * Records the memory of the frame that is arriving on a channel.
   *
   * @param channel the channel
   * @param bytes the number of bytes, 0 if no frame is incomplete
   * @param begun whether the frame has begun since the last call, because an earlier one is
   *     complete
   * @return false if there is no room, so that the channel must be closed
   */
  boolean hold(Channel channel, long bytes, boolean begun) {
    Optional<Channel> victim = Optional.empty();
    boolean fits;
    synchronized (this) {
      Holding before = holdings.get(channel);
      long more = bytes - (before == null ? 0 : before.bytes());
      fits = more <= 0 || used + more <= capacity;
      if (!fits) {
        victim = longestIncomplete(channel);
        fits = victim.isPresent();
        victim.ifPresent(this::remove);
      }
      if (fits) {
        update(channel, bytes, begun);
      }
    }
    victim.ifPresent(LinkHandler::close);
    return fits;
  }

  // The entries are in the order in which their frames began.
  private void update(Channel channel, long bytes, boolean begun) {
    if (bytes == 0) {
      remove(channel);
      return;
    }
    if (begun) {
      remove(channel);
    }
    Holding continued = holdings.get(channel);
    used += bytes - (continued == null ? 0 : continued.bytes());
    long sinceNanos = continued == null ? time.nanos() : continued.sinceNanos();
    holdings.put(channel, new Holding(bytes, sinceNanos));
  }

  private Optional<Channel> longestIncomplete(Channel needing) {
    long nowNanos = time.nanos();
    return holdings.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(needing))
        .filter(entry -> nowNanos - entry.getValue().sinceNanos() >= GRACE_NANOS)
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Records that a channel holds nothing any more. */
  synchronized void remove(Channel channel) {
    Holding removed = holdings.remove(channel);
    if (removed != null) {
      used -= removed.bytes();
    }
  }
}
