package org.amaranthmoor.daemon.mesh;

import java.util.concurrent.TimeUnit;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.TimeSource;

/**
 * Logs how each version of the configuration reaches this node: when it was announced, from where
 * it was taken, and why a version was not taken.
 *
 * <p>Invariant: keeps one announced version only. Safe for use by several threads.
 */
final class ConfigLog {

  private final TimeSource time;
  private final EventLog log;
  private long announcedVersion = -1;
  private long announcedNanos;

  ConfigLog(TimeSource time, EventLog log) {
    this.time = time;
    this.log = log;
  }

  /**
   * Records that another node has a version that is newer than the one in force here.
   *
   * @param version the version
   * @param inForce the version in force here
   * @param peer the name that the other node sends
   */
  synchronized void onAnnounced(long version, long inForce, String peer) {
    if (version <= announcedVersion) {
      return;
    }
    // A further version does not make this node less late with the one before.
    if (announcedVersion <= inForce) {
      announcedNanos = time.nanos();
    }
    announcedVersion = version;
    log.info(
        "config-announced",
        () -> "version=" + version + " in-force=" + inForce + " peer=" + EventLog.quote(peer));
  }

  /**
   * Records that a version was put in force.
   *
   * @param config the version
   * @param replaced the version that was in force before, or -1
   * @param source where it was read
   */
  synchronized void onInForce(RoutingConfig config, long replaced, String source) {
    boolean announced = replaced < announcedVersion && config.version() <= announcedVersion;
    long lateMillis = announced ? TimeUnit.NANOSECONDS.toMillis(time.nanos() - announcedNanos) : 0;
    log.info(
        "config-in-force",
        () ->
            "version="
                + config.version()
                + " replaces="
                + replaced
                + " source="
                + source
                + " announced-ms="
                + lateMillis
                + " rules="
                + config.routes().size()
                + " services="
                + config.services().size());
  }

  /**
   * Records that a version was not put in force, because the one in force is newer or the same.
   *
   * @param version the version
   * @param inForce the version in force
   * @param source where it was read
   */
  void onNotNewer(long version, long inForce, String source) {
    log.info(
        "config-not-taken",
        () ->
            "version="
                + version
                + " in-force="
                + inForce
                + " source="
                + source
                + " reason=not-newer");
  }
}
