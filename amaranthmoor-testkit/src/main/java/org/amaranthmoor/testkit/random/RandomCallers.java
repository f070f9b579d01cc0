package org.amaranthmoor.testkit.random;

import java.util.Optional;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.target.ExchangeLedger;
import org.amaranthmoor.target.HandOver;
import org.amaranthmoor.target.KeyLedger;
import org.amaranthmoor.target.KeyOwners;
import org.amaranthmoor.target.KeyOwnership;

/**
 * Callers that repeat a request with its idempotency key, through any node, until it is answered or
 * the repeats are used up.
 *
 * <p>Each step of a request is an event of its own, so that a pause, a kill or a lost link can
 * occur between any two steps. Confined to one thread.
 */
final class RandomCallers {

  private static final int MAX_REPEATS = 6;
  private static final long ENTRY_TIMEOUT_MILLIS = 1_500;

  private final RandomRun run;
  private final ServiceName service;
  private long nextAttempt;
  private long started;
  private long answered;

  RandomCallers(RandomRun run, ServiceName service) {
    this.run = run;
    this.service = service;
  }

  private static final class Attempt {
    private final long id;
    private final IdempotencyKey key;
    private final int repeat;
    private final ExchangeLedger.ConnectionId connection;
    private boolean ended;

    Attempt(long id, IdempotencyKey key, int repeat, String entryNode, long entryIncarnation) {
      this.id = id;
      this.key = key;
      this.repeat = repeat;
      this.connection = new ExchangeLedger.ConnectionId(entryNode, entryIncarnation, id);
    }
  }

  long started() {
    return started;
  }

  long answered() {
    return answered;
  }

  void start(IdempotencyKey key) {
    started++;
    attempt(key, 0);
  }

  private void attempt(IdempotencyKey key, int repeat) {
    FakeNode entryNode = run.anyNode();
    Optional<KeyOwners.Member> owner = entryNode.keyOwners(service).ownerOf(key);
    if (owner.isEmpty()) {
      scheduleRepeat(key, repeat);
      return;
    }
    Attempt attempt =
        new Attempt(
            nextAttempt++, key, repeat, entryNode.name.value(), entryNode.incarnation.value());
    run.queue.after(ENTRY_TIMEOUT_MILLIS, () -> timeOut(attempt));
    run.find(owner.get())
        .ifPresent(
            node -> {
              node.execute(() -> node.exchanges.onConnected(attempt.connection));
              run.queue.after(run.delay(), () -> node.execute(() -> arriveAtOwner(node, attempt)));
              if (run.chance(0.1)) {
                loseLink(node, attempt);
              }
            });
  }

  // The entry side loses the link and settles the attempt over a new one.
  private void loseLink(FakeNode node, Attempt attempt) {
    run.queue.after(
        run.delay(),
        () ->
            node.execute(
                () -> {
                  ExchangeLedger.Settlement settlement =
                      node.exchanges.settle(attempt.connection, 1);
                  if (settlement == ExchangeLedger.Settlement.FENCED) {
                    notRun(attempt);
                  }
                }));
  }

  private void arriveAtOwner(FakeNode node, Attempt attempt) {
    HandOver handOver = node.exchanges.register(attempt.connection, 1);
    KeyOwnership.Status status = node.ownership.statusOf(attempt.key, run.queue.nanos());
    switch (status) {
      case NOT_OWNER -> reply(() -> notRun(attempt));
      case UNCERTAIN -> reply(() -> unknown(attempt));
      case EXCLUSIVE -> claim(node, attempt, handOver);
    }
  }

  private void claim(FakeNode node, Attempt attempt, HandOver handOver) {
    long wall = run.queue.wallMillis() + node.clockSkewMillis;
    switch (node.keys.claim(attempt.key, wall)) {
      case KeyLedger.Claim.Fresh<String> fresh ->
          run.queue.after(run.delay(), () -> node.execute(() -> commit(node, attempt, handOver)));
      case KeyLedger.Claim.Answered<String> answered -> reply(() -> answered(attempt));
      case KeyLedger.Claim.InProgress<String> running -> reply(() -> unknown(attempt));
      case KeyLedger.Claim.OutcomeUnknown<String> ran -> reply(() -> unknown(attempt));
      case KeyLedger.Claim.TooOld<String> old -> reply(() -> unknown(attempt));
      case KeyLedger.Claim.Full<String> full -> reply(() -> notRun(attempt));
    }
  }

  private void commit(FakeNode node, Attempt attempt, HandOver handOver) {
    boolean exclusive =
        node.ownership.statusOf(attempt.key, run.queue.nanos()) == KeyOwnership.Status.EXCLUSIVE;
    if (!exclusive || !handOver.commit()) {
      node.keys.release(attempt.key);
      reply(() -> notRun(attempt));
      return;
    }
    // The process may be paused for any time between the check and the write to the target.
    run.queue.after(
        run.chance(0.02) ? run.random.nextLong(20_000) : 0,
        () -> node.execute(() -> write(node, attempt)));
  }

  private void write(FakeNode node, Attempt attempt) {
    run.executions.onRun(attempt.key, attempt.id, node.member().node() + "/" + node.incarnation);
    run.queue.after(
        run.delay(),
        () ->
            node.execute(
                () -> {
                  if (run.chance(0.9)) {
                    node.keys.onAnswered(attempt.key, Optional.of("done"));
                    reply(() -> answered(attempt));
                  } else {
                    node.keys.onOutcomeUnknown(attempt.key);
                    reply(() -> unknown(attempt));
                  }
                }));
  }

  private void reply(Runnable action) {
    if (!run.chance(0.05)) {
      run.queue.after(run.delay(), action);
    }
  }

  private void answered(Attempt attempt) {
    if (!attempt.ended) {
      attempt.ended = true;
      answered++;
      // Some callers repeat a request although it was answered.
      if (run.chance(0.1)) {
        scheduleRepeat(attempt.key, attempt.repeat);
      }
    }
  }

  private void notRun(Attempt attempt) {
    run.executions.onReportedNotRun(attempt.id);
    end(attempt);
  }

  private void unknown(Attempt attempt) {
    end(attempt);
  }

  private void timeOut(Attempt attempt) {
    end(attempt);
  }

  private void end(Attempt attempt) {
    if (!attempt.ended) {
      attempt.ended = true;
      scheduleRepeat(attempt.key, attempt.repeat);
    }
  }

  private void scheduleRepeat(IdempotencyKey key, int repeat) {
    if (repeat < MAX_REPEATS) {
      long delayMillis = run.chance(0.2) ? run.random.nextLong(15_000) : run.random.nextLong(1_000);
      run.queue.after(delayMillis, () -> attempt(key, repeat + 1));
    }
  }
}
