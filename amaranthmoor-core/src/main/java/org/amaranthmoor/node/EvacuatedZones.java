package org.amaranthmoor.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.ZoneName;

/**
 * Tracks which availability zones the operator has evacuated, so that no request is sent to their
 * targets.
 *
 * <p>The source holds a record for each evacuated zone and drops it when the zone is taken back.
 * Nodes learn of both from the source itself or from the gossip of other nodes, in any order.
 *
 * <p>Invariants: a state that was read at an earlier position of the source never replaces one of a
 * later position. When the source was restored from an older copy, the record of an evacuation may
 * be missing until the operator repeats it, so a zone that was evacuated before stays evacuated for
 * {@link #ROLLBACK_HOLD_NANOS}, or until a record takes it back.
 *
 * <p>Safe for use by several threads.
 */
public final class EvacuatedZones {

  /**
   * Time for which an evacuation that a restored source lacks stays in force, in nanoseconds: the
   * operator repeats what was lost some seconds after the rollback.
   */
  static final long ROLLBACK_HOLD_NANOS = 10_000_000_000L;

  /**
   * The evacuated zones at a position of the source.
   *
   * @param epoch the epoch of the source in which the offset is valid
   * @param offset the offset after the last record that was considered
   * @param zones the evacuated zones
   */
  public record State(SourceEpoch epoch, long offset, Set<ZoneName> zones) {

    /** State of a node that has read nothing yet. */
    public static final State UNREAD = new State(SourceEpoch.UNKNOWN, -1, Set.of());

    /** Copies the zones. */
    public State {
      zones = Set.copyOf(zones);
    }

    /** {@return whether the zones have been read} */
    public boolean isRead() {
      return offset >= 0;
    }

    private boolean isAfter(State other) {
      int epochs = epoch.compareTo(other.epoch);
      return epochs > 0 || (epochs == 0 && offset > other.offset);
    }
  }

  private State state = State.UNREAD;
  private final Map<ZoneName, Long> heldUntilNanos = new HashMap<>();

  /** Creates a tracker that has read nothing yet. */
  public EvacuatedZones() {}

  /**
   * Applies a state that was read as a whole, at the source or by another node.
   *
   * @param newest the state; ignored if it is not of a later position than the current one
   * @param nowNanos the current time
   * @return whether the evacuated zones have changed
   */
  public synchronized boolean onState(State newest, long nowNanos) {
    if (!newest.isAfter(state)) {
      return false;
    }
    Set<ZoneName> before = zones(nowNanos);
    boolean sameEpoch = newest.epoch().equals(state.epoch());
    for (ZoneName zone : state.zones()) {
      if (!sameEpoch) {
        heldUntilNanos.put(zone, nowNanos + ROLLBACK_HOLD_NANOS);
      } else if (!newest.zones().contains(zone)) {
        heldUntilNanos.remove(zone);
      }
    }
    state = newest;
    return !zones(nowNanos).equals(before);
  }

  /**
   * Applies records that were read after an earlier position of the same epoch.
   *
   * @param changes whether each zone that the records name is evacuated after the last of them
   * @param epoch the epoch of the source
   * @param offset the offset after the last record
   * @param nowNanos the current time
   * @return whether the evacuated zones have changed
   */
  public synchronized boolean onChanges(
      Map<ZoneName, Boolean> changes, SourceEpoch epoch, long offset, long nowNanos) {
    Set<ZoneName> changed = new HashSet<>(state.zones());
    changes.forEach(
        (zone, evacuated) -> {
          if (evacuated) {
            changed.add(zone);
          } else {
            changed.remove(zone);
          }
        });
    Set<ZoneName> before = zones(nowNanos);
    State next = new State(epoch, offset, changed);
    if (!next.isAfter(state)) {
      return false;
    }
    state = next;
    changes.keySet().forEach(heldUntilNanos::remove);
    return !zones(nowNanos).equals(before);
  }

  /** {@return the newest state, as it is passed on to other nodes} */
  public synchronized State state() {
    return state;
  }

  /**
   * Returns the zones to which no request may be sent.
   *
   * @param nowNanos the current time
   * @return the evacuated zones, in the order of their names
   */
  public synchronized Set<ZoneName> zones(long nowNanos) {
    heldUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    Set<ZoneName> zones = new TreeSet<>(state.zones());
    zones.addAll(heldUntilNanos.keySet());
    return zones;
  }

  /**
   * Returns whether a zone is evacuated.
   *
   * @param zone the zone
   * @param nowNanos the current time
   * @return whether no request may be sent to its targets
   */
  public synchronized boolean contains(ZoneName zone, long nowNanos) {
    Long heldUntil = heldUntilNanos.get(zone);
    return state.zones().contains(zone) || (heldUntil != null && nowNanos - heldUntil < 0);
  }
}
