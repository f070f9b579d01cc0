package org.amaranthmoor.testkit.random;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.platform.CheckpointCodec;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.LogRecords;
import org.amaranthmoor.platform.PlatformLog;
import org.amaranthmoor.platform.StateReader;
import org.amaranthmoor.platform.Verdict;
import org.amaranthmoor.protocol.platform.Joined;
import org.amaranthmoor.protocol.platform.LogRecord;
import org.amaranthmoor.target.KeyOwners;
import org.amaranthmoor.testkit.platform.InMemoryLog;

/**
 * Simulates a service of a few nodes under random faults: pauses, kills, replacements, false
 * suspicions, nodes that cannot reach the log, outages, lost responses, expired records, late
 * checkpoints and conflicting notes.
 *
 * <p>The seed determines the whole run. Confined to one thread.
 */
public final class RandomRun {

  private static final ServiceName SERVICE = new ServiceName("lending");
  private static final long START_MILLIS = 100_000_000L;
  private static final long RETENTION_MILLIS = 40_000;
  private static final int NODES = 4;
  private static final int APPENDS_PER_SECOND = 1_000;
  // Limit on the skew of the clock of a node or a caller; two clocks can differ by twice this.
  private static final long MAX_CLOCK_SKEW_MILLIS = 500;
  private static final long CONFIRMATION_PERIOD_MILLIS = 1_000;

  final EventQueue queue = new EventQueue(START_MILLIS);
  final SplittableRandom random;
  final Executions executions = new Executions();
  private final InMemoryLog log = new InMemoryLog(queue, RETENTION_MILLIS, APPENDS_PER_SECOND);
  private final StateReader reader = new StateReader(log);
  private final List<FakeNode> nodes = new ArrayList<>();
  private final Map<Long, String> digests = new HashMap<>();
  private final Map<NoteId, String> verdicts = new HashMap<>();
  private final RandomCallers calls;
  private long nextIncarnation = 1;
  private long nextNote = 1;
  private long steps;

  /**
   * Creates a run.
   *
   * @param seed the seed
   */
  public RandomRun(long seed) {
    this.random = new SplittableRandom(seed);
    this.calls = new RandomCallers(this, SERVICE);
    append(LogRecords.note(new NoteId("open"), openingNote()));
    for (int i = 1; i <= NODES; i++) {
      nodes.add(start(i));
    }
    queue.after(0, this::injectFault);
    queue.after(0, this::startCall);
    queue.after(0, this::publishNote);
  }

  /**
   * Totals of a run.
   *
   * @param seed its seed
   * @param steps number of events
   * @param executions number of attempts that targets ran
   * @param calls number of calls that callers started
   * @param answered number of attempts that were answered
   */
  public record Summary(long seed, long steps, int executions, long calls, long answered) {}

  /**
   * Runs a simulation.
   *
   * @param seed the seed
   * @param millis length of the run, in milliseconds of simulated time
   * @return the totals
   * @throws Executions.ViolationException if an invariant is violated
   */
  public static Summary run(long seed, long millis) {
    RandomRun run = new RandomRun(seed);
    long end = START_MILLIS + millis;
    while (run.queue.runNext(end)) {
      run.steps++;
    }
    return new Summary(
        seed, run.steps, run.executions.total(), run.calls.started(), run.calls.answered());
  }

  private static String openingNote() {
    StringBuilder text = new StringBuilder("format: 1\nnote: open\nservices:\n  - add: lending\n");
    text.append("rules:\n  - add: lending\n    service: lending\n    path-prefix: /lending\n");
    text.append("targets:\n");
    for (int i = 1; i <= NODES; i++) {
      text.append("  - add: t").append(i).append("\n    service: lending\n");
    }
    return text.append("end: open\n").toString();
  }

  private FakeNode start(int number) {
    long skew = random.nextLong(-MAX_CLOCK_SKEW_MILLIS, MAX_CLOCK_SKEW_MILLIS + 1);
    FakeNode node =
        new FakeNode(
            new NodeName("n" + number),
            new Incarnation(nextIncarnation++),
            new TargetName("t" + number),
            skew);
    queue.after(random.nextLong(300), () -> readLog(node));
    queue.after(random.nextLong(CONFIRMATION_PERIOD_MILLIS), () -> requestConfirmations(node));
    return node;
  }

  /** {@return a node that is not dead} */
  FakeNode anyNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  Optional<FakeNode> find(KeyOwners.Member member) {
    return nodes.stream().filter(node -> node.member().equals(member)).findFirst();
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  /** {@return a random delay of a message, in milliseconds: mostly short, sometimes very long} */
  long delay() {
    return chance(0.05) ? random.nextLong(6_000) : random.nextLong(20);
  }

  private void append(LogRecord record) {
    var unused = log.append(PlatformLog.MAIN_STREAM, record.toByteArray());
  }

  // Reads the log and applies the result later, as by a process that is paused in between.
  private void readLog(FakeNode node) {
    if (node.dead()) {
      return;
    }
    queue.after(100 + random.nextLong(300), () -> readLog(node));
    if (!node.running() || node.disconnectedFromLog || node.reading) {
      return;
    }
    node.reading = true;
    long startedNanos = queue.nanos();
    ClusterState before = node.state();
    queue.after(
        delay() / 2,
        () -> {
          StateReader.Step step = reader.step(before, 0);
          queue.after(
              delay() / 2, () -> node.execute(() -> applyStep(node, before, step, startedNanos)));
        });
  }

  private void applyStep(
      FakeNode node, ClusterState before, StateReader.Step step, long startedNanos) {
    node.reading = false;
    if (!(step instanceof StateReader.Step.Progress progress)) {
      return;
    }
    if (progress.state().offset() > before.offset()
        && node.holder.advance(progress.state(), progress.contiguous())) {
      checkAgreement(progress.state());
      node.ownership.onMembers(
          node.keyOwners(SERVICE),
          progress.contiguous(),
          queue.wallMillis() + node.clockSkewMillis);
      rejoinIfEvicted(node);
    }
    if (progress.atEnd()) {
      node.ownership.onLogRead(startedNanos);
      if (!node.announced) {
        node.announced = true;
        announce(node);
      }
    }
  }

  // A node that finds that it was evicted ends and is replaced by a new incarnation.
  private void rejoinIfEvicted(FakeNode node) {
    boolean evicted = node.announced && node.self().isEmpty() && joinWasApplied(node);
    if (evicted) {
      replace(node);
    }
  }

  private boolean joinWasApplied(FakeNode node) {
    return node.state().recentRecordIds().stream()
        .anyMatch(id -> id.equals("joined/" + node.name + "/" + node.incarnation));
  }

  private void announce(FakeNode node) {
    append(
        LogRecords.joined(
            Joined.newBuilder()
                .setNode(node.name.value())
                .setIncarnation(node.incarnation.value())
                .setHost("127.0.0.1")
                .setPort(1)
                .setZone("z")
                .setRegion("r")
                .setTarget(node.target.value())
                .setSlots(6)
                .build()));
  }

  // All states at one offset must be equal, and a verdict must never change.
  private void checkAgreement(ClusterState state) {
    String digest = CheckpointCodec.digest(state);
    String known = digests.putIfAbsent(state.offset(), digest);
    if (known != null && !known.equals(digest)) {
      throw new Executions.ViolationException(
          "two nodes have different states at offset " + state.offset());
    }
    for (Verdict verdict : state.verdicts()) {
      String text = verdict.toString();
      String before = verdicts.putIfAbsent(verdict.note(), text);
      if (before != null && !before.equals(text)) {
        throw new Executions.ViolationException(
            "the verdict on note " + verdict.note() + " changed from " + before + " to " + text);
      }
    }
  }

  private void requestConfirmations(FakeNode node) {
    if (node.dead()) {
      return;
    }
    queue.after(CONFIRMATION_PERIOD_MILLIS, () -> requestConfirmations(node));
    if (!node.running() || node.ownership.current().isEmpty()) {
      return;
    }
    KeyOwners keyOwners = node.ownership.current().get();
    long requestedNanos = queue.nanos();
    for (KeyOwners.Member member : keyOwners.members()) {
      if (!member.equals(node.member()) && !chance(0.1)) {
        queue.after(
            delay(), () -> onConfirmationRequested(node, keyOwners, member, requestedNanos));
      }
    }
  }

  private void onConfirmationRequested(
      FakeNode requester, KeyOwners keyOwners, KeyOwners.Member member, long requestedNanos) {
    find(member)
        .ifPresent(
            peer ->
                peer.execute(
                    () -> {
                      if (peer.ownership.confirms(keyOwners.fingerprint())) {
                        queue.after(
                            delay(),
                            () ->
                                requester.execute(
                                    () ->
                                        onConfirmed(requester, keyOwners, member, requestedNanos)));
                      }
                    }));
  }

  private void onConfirmed(
      FakeNode requester, KeyOwners keyOwners, KeyOwners.Member member, long requestedNanos) {
    requester.ownership.onConfirmed(
        member,
        keyOwners.fingerprint(),
        requestedNanos,
        queue.wallMillis() + requester.clockSkewMillis);
  }

  private void injectFault() {
    queue.after(random.nextLong(1_500), this::injectFault);
    FakeNode node = anyNode();
    switch (random.nextInt(10)) {
      case 0, 1 -> pause(node);
      case 2 -> replace(node);
      case 3, 4 -> evict(node);
      case 5 -> disconnectFromLog(node);
      case 6 -> outage();
      case 7 -> log.loseResponses(1 + random.nextInt(3));
      default -> writeCheckpoint(node);
    }
  }

  private void pause(FakeNode node) {
    node.pause();
    queue.after(random.nextLong(12_000), node::resume);
  }

  private void replace(FakeNode node) {
    node.kill();
    int index = nodes.indexOf(node);
    if (index >= 0) {
      nodes.set(index, start(index + 1));
    }
  }

  // A suspicion may be false: the victim may be alive, paused or unable to reach the log.
  private void evict(FakeNode by) {
    KeyOwners keyOwners = by.keyOwners(SERVICE);
    List<KeyOwners.Member> others =
        keyOwners.members().stream().filter(member -> !member.equals(by.member())).toList();
    if (!by.running() || others.isEmpty() || !by.ownership.established()) {
      return;
    }
    KeyOwners.Member victim = others.get(random.nextInt(others.size()));
    by.ownership.onEvictionRequested();
    if (!by.disconnectedFromLog) {
      LogRecord record = LogRecords.evicted(victim.node(), victim.incarnation(), by.name);
      queue.after(delay(), () -> append(record));
    }
  }

  private void disconnectFromLog(FakeNode node) {
    node.disconnectedFromLog = true;
    queue.after(random.nextLong(15_000), () -> node.disconnectedFromLog = false);
  }

  private void outage() {
    log.setDown(true);
    queue.after(random.nextLong(10_000), () -> log.setDown(false));
  }

  // Encodes the state now and appends it later, as by a writer that is paused in between.
  private void writeCheckpoint(FakeNode node) {
    if (node.state().offset() == ClusterState.NO_OFFSET) {
      return;
    }
    byte[] bytes =
        CheckpointCodec.write(node.state(), node.name, queue.wallMillis() / RETENTION_MILLIS);
    queue.after(
        delay(),
        () -> {
          var unused = log.append(PlatformLog.CHECKPOINT_STREAM, bytes);
        });
  }

  private void startCall() {
    queue.after(random.nextLong(60), this::startCall);
    long skew = random.nextLong(-MAX_CLOCK_SKEW_MILLIS, MAX_CLOCK_SKEW_MILLIS + 1);
    IdempotencyKey key =
        IdempotencyKey.create(queue.wallMillis() + skew, random.nextLong(), random.nextInt());
    calls.start(key);
  }

  // Operators base a note on the state of some node, which may be stale.
  private void publishNote() {
    queue.after(random.nextLong(8_000), this::publishNote);
    ClusterState known = anyNode().state();
    if (known.services().get(SERVICE) == null) {
      return;
    }
    String id = "note-" + nextNote++;
    String text =
        "format: 1\nnote: "
            + id
            + "\nservices:\n  - change: lending\n    builds-on: "
            + known.services().get(SERVICE).revision()
            + "\nend: "
            + id
            + "\n";
    LogRecord record = LogRecords.note(new NoteId(id), text);
    append(record);
    if (chance(0.3)) {
      queue.after(delay(), () -> append(record));
    }
  }
}
