package org.amaranthmoor.daemon.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiConsumer;
import org.amaranthmoor.model.TeamName;

/**
 * Collects the demands for one owner into rounds, of which one at a time is under way. Demands that
 * arrive meanwhile form the next round, so that requests of one team share a query and demands of
 * several teams share a message. A round has a limited number of teams; further ones form another.
 *
 * <p>Invariant: the future of every round completes. Safe for use by several threads.
 */
final class OwnerQueue {

  private static final class Round {
    private final Map<TeamName, Integer> waiting = new HashMap<>();
    private final CompletableFuture<Boolean> done = new CompletableFuture<>();
  }

  private final Executor executor;
  private final BiConsumer<Map<TeamName, Integer>, CompletableFuture<Boolean>> send;
  private final int maxTeams;
  private final Deque<Round> rounds = new ArrayDeque<>();
  private boolean running;

  /**
   * Creates an empty queue.
   *
   * @param maxTeams largest number of teams in a round
   * @param executor runs rounds, which block
   * @param send sends a round: the numbers of waiting requests by team, and the future that is to
   *     be completed with whether the owner replied
   */
  OwnerQueue(
      int maxTeams,
      Executor executor,
      BiConsumer<Map<TeamName, Integer>, CompletableFuture<Boolean>> send) {
    this.maxTeams = maxTeams;
    this.executor = executor;
    this.send = send;
  }

  /**
   * Adds a demand to the next round that has room for it.
   *
   * @param team the team
   * @param waiting number of requests that wait; 0 to give tokens back or to learn whether the
   *     owner answers
   * @return completes when the round has ended, with whether the owner replied
   */
  CompletableFuture<Boolean> add(TeamName team, int waiting) {
    CompletableFuture<Boolean> done;
    boolean starts;
    synchronized (this) {
      Round round = roundFor(team);
      round.waiting.merge(team, waiting, Integer::sum);
      done = round.done;
      starts = !running;
      running = true;
    }
    if (starts) {
      start();
    }
    return done;
  }

  private Round roundFor(TeamName team) {
    for (Round round : rounds) {
      if (round.waiting.size() < maxTeams || round.waiting.containsKey(team)) {
        return round;
      }
    }
    Round added = new Round();
    rounds.addLast(added);
    return added;
  }

  private void start() {
    boolean started = false;
    try {
      executor.execute(this::runRounds);
      started = true;
    } catch (RejectedExecutionException e) {
      // The node is stopping; the request falls back to the local allowance.
    } finally {
      if (!started) {
        endFailed();
      }
    }
  }

  private synchronized void endFailed() {
    running = false;
    rounds.forEach(round -> round.done.complete(false));
    rounds.clear();
  }

  private void runRounds() {
    while (true) {
      Round round;
      synchronized (this) {
        if (rounds.isEmpty()) {
          running = false;
          return;
        }
        round = rounds.removeFirst();
      }
      try {
        send.accept(round.waiting, round.done);
      } catch (RuntimeException | Error e) {
        // The waiting requests fall back to the local allowance; a later demand starts anew.
        round.done.complete(false);
        endFailed();
        throw e;
      } finally {
        round.done.complete(false);
      }
    }
  }
}
