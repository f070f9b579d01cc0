package org.amaranthmoor.testkit.random;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.platform.AnnouncedTarget;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.StateHolder;
import org.amaranthmoor.target.ExchangeLedger;
import org.amaranthmoor.target.KeyLedger;
import org.amaranthmoor.target.KeyOwners;
import org.amaranthmoor.target.KeyOwnership;

/**
 * One incarnation of a node: the production classes, in a process that can be paused and killed.
 *
 * <p>A paused process executes nothing; when it is resumed, it executes all actions that arrived in
 * the meantime, in their order. Confined to one thread.
 */
final class FakeNode {

  private static final int MAX_STORED_KEYS = 100_000;
  private static final int MAX_STORED_RESPONSE_BYTES = 1_000;

  final NodeName name;
  final Incarnation incarnation;
  final TargetName target;
  final long clockSkewMillis;
  final KeyOwnership ownership;
  final StateHolder holder = new StateHolder();
  final ExchangeLedger exchanges = new ExchangeLedger();
  final KeyLedger<String> keys =
      new KeyLedger<>(MAX_STORED_KEYS, MAX_STORED_RESPONSE_BYTES, String::length);
  private final Deque<Runnable> inbox = new ArrayDeque<>();
  private boolean paused;
  private boolean dead;
  boolean disconnectedFromLog;
  boolean reading;
  boolean announced;

  FakeNode(NodeName name, Incarnation incarnation, TargetName target, long clockSkewMillis) {
    this.name = name;
    this.incarnation = incarnation;
    this.target = target;
    this.clockSkewMillis = clockSkewMillis;
    this.ownership = new KeyOwnership(member());
  }

  KeyOwners.Member member() {
    return new KeyOwners.Member(name, incarnation);
  }

  boolean running() {
    return !paused && !dead;
  }

  boolean dead() {
    return dead;
  }

  /** Executes an action now, at the end of the pause, or never if the process was killed. */
  void execute(Runnable action) {
    if (dead) {
      return;
    }
    if (paused) {
      inbox.addLast(action);
    } else {
      action.run();
    }
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Runnable> deferred = new ArrayList<>(inbox);
    inbox.clear();
    deferred.forEach(this::execute);
  }

  void kill() {
    dead = true;
    inbox.clear();
  }

  /** {@return the members of a service as this node knows them} */
  KeyOwners keyOwners(ServiceName service) {
    return KeyOwners.of(holder.current(), service);
  }

  Optional<AnnouncedTarget> self() {
    return Optional.ofNullable(holder.current().announcedTargets().get(name))
        .filter(a -> a.incarnation().equals(incarnation));
  }

  ClusterState state() {
    return holder.current();
  }
}
