package org.amaranthmoor.platform;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthmoor.config.CallKind;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.config.RuleSpec;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.TargetSpec;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.protocol.platform.AnnouncedData;
import org.amaranthmoor.protocol.platform.CallKindData;
import org.amaranthmoor.protocol.platform.Checkpoint;
import org.amaranthmoor.protocol.platform.ClusterStateData;
import org.amaranthmoor.protocol.platform.Joined;
import org.amaranthmoor.protocol.platform.ReasonData;
import org.amaranthmoor.protocol.platform.RuleData;
import org.amaranthmoor.protocol.platform.ServiceData;
import org.amaranthmoor.protocol.platform.TargetData;
import org.amaranthmoor.protocol.platform.VerdictData;

/**
 * Encodes and decodes checkpoints. A checkpoint holds a complete state with its offset and digest.
 *
 * <p>Equal states are encoded as equal bytes, so two nodes write the same state and digest for the
 * same offset. Stateless and safe for use by several threads.
 */
public final class CheckpointCodec {

  /** The checkpoint format that this build writes and reads. */
  public static final int CHECKPOINT_FORMAT = 1;

  private CheckpointCodec() {}

  /**
   * Encodes a state as a checkpoint.
   *
   * @param state the state
   * @param writer the node that writes the checkpoint
   * @param period number of the checkpoint period in which it is written
   * @return the checkpoint
   */
  public static byte[] write(ClusterState state, NodeName writer, long period) {
    ClusterStateData data = toData(state);
    return Checkpoint.newBuilder()
        .setFormat(CHECKPOINT_FORMAT)
        .setOffset(state.offset())
        .setDigest(ByteString.copyFrom(LogRecords.sha256(data.toByteArray())))
        .setState(data)
        .setWriter(writer.value())
        .setPeriod(period)
        .build()
        .toByteArray();
  }

  /**
   * Decodes a checkpoint.
   *
   * @param bytes the checkpoint
   * @return the state, or empty if the bytes are corrupt or of another format
   */
  public static Optional<ClusterState> read(byte[] bytes) {
    try {
      Checkpoint checkpoint = Checkpoint.parseFrom(bytes);
      return isIntact(checkpoint) ? Optional.of(toState(checkpoint.getState())) : Optional.empty();
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static boolean isIntact(Checkpoint checkpoint) {
    byte[] digest = LogRecords.sha256(checkpoint.getState().toByteArray());
    return checkpoint.getFormat() == CHECKPOINT_FORMAT
        && checkpoint.getOffset() == checkpoint.getState().getOffset()
        && ByteString.copyFrom(digest).equals(checkpoint.getDigest());
  }

  /**
   * Decodes the period in which a checkpoint was written.
   *
   * @param bytes the checkpoint
   * @return the number of the period, or empty if the bytes are corrupt or of another format
   */
  public static Optional<Long> readPeriod(byte[] bytes) {
    try {
      Checkpoint checkpoint = Checkpoint.parseFrom(bytes);
      return isIntact(checkpoint) ? Optional.of(checkpoint.getPeriod()) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the SHA-256 digest of a state, which is equal for equal states.
   *
   * @param state the state
   * @return the digest as hexadecimal digits
   */
  public static String digest(ClusterState state) {
    return LogRecords.hex(LogRecords.sha256(toData(state).toByteArray()));
  }

  private static ClusterStateData toData(ClusterState state) {
    ClusterStateData.Builder data = ClusterStateData.newBuilder();
    data.setOffset(state.offset());
    data.setFormatLevel(state.formatLevel());
    state.services().values().forEach(service -> data.addServices(toData(service)));
    state.rules().values().forEach(rule -> data.addRules(toData(rule)));
    state.targets().values().forEach(target -> data.addTargets(toData(target)));
    state.verdicts().forEach(verdict -> data.addVerdicts(toData(verdict)));
    state.announcedTargets().values().forEach(announced -> data.addAnnounced(toData(announced)));
    data.addAllRecentRecordIds(state.recentRecordIds());
    return data.build();
  }

  private static ServiceData toData(ServiceSpec service) {
    return ServiceData.newBuilder()
        .setName(service.name().value())
        .setRevision(service.revision().value())
        .setAvailabilityObjective(service.availabilityObjective())
        .setLatencyObjectiveMillis(service.latencyObjectiveMillis())
        .setLatencyShare(service.latencyShare())
        .setDefaultDeadlineMillis(service.defaultDeadlineMillis())
        .setWeigh(service.weighting().text())
        .setProbesPerSecond(service.probesPerSecond())
        .setRetryShare(service.retryShare())
        .build();
  }

  private static RuleData toData(RuleSpec rule) {
    RuleData.Builder data =
        RuleData.newBuilder()
            .setName(rule.name().value())
            .setRevision(rule.revision().value())
            .setService(rule.service().value())
            .setPathPrefix(rule.pathPrefix())
            .setHost(rule.host());
    for (CallKind kind : rule.calls()) {
      data.addCalls(
          CallKindData.newBuilder()
              .setPathPrefix(kind.pathPrefix())
              .addAllMethods(kind.methods())
              .setIdempotent(kind.idempotent())
              .setPriority(kind.priority().text())
              .setDeadlineMillis(kind.deadlineMillis()));
    }
    return data.build();
  }

  private static TargetData toData(TargetSpec target) {
    return TargetData.newBuilder()
        .setName(target.name().value())
        .setRevision(target.revision().value())
        .setService(target.service().value())
        .build();
  }

  private static VerdictData toData(Verdict verdict) {
    VerdictData.Builder data =
        VerdictData.newBuilder().setNoteId(verdict.note().value()).setOffset(verdict.offset());
    switch (verdict) {
      case Verdict.Accepted accepted -> data.setAccepted(true);
      case Verdict.Refused refused ->
          refused.reasons().forEach(reason -> data.addReasons(toData(reason)));
    }
    return data.build();
  }

  private static ReasonData toData(Reason reason) {
    return ReasonData.newBuilder()
        .setCode(reason.code().number())
        .setItem(reason.item())
        .setMessage(reason.message())
        .setLine(reason.line())
        .build();
  }

  private static AnnouncedData toData(AnnouncedTarget announced) {
    Joined joined =
        Joined.newBuilder()
            .setNode(announced.node().value())
            .setIncarnation(announced.incarnation().value())
            .setHost(announced.host())
            .setPort(announced.port())
            .setZone(announced.zone().value())
            .setRegion(announced.region().value())
            .setTarget(announced.target().value())
            .setSlots(announced.slots())
            .build();
    return AnnouncedData.newBuilder().setJoined(joined).setOffset(announced.offset()).build();
  }

  private static ClusterState toState(ClusterStateData data) {
    TreeMap<ServiceName, ServiceSpec> services = new TreeMap<>();
    data.getServicesList().forEach(item -> put(services, toService(item)));
    TreeMap<RuleName, RuleSpec> rules = new TreeMap<>();
    data.getRulesList().forEach(item -> rules.put(new RuleName(item.getName()), toRule(item)));
    TreeMap<TargetName, TargetSpec> targets = new TreeMap<>();
    data.getTargetsList()
        .forEach(item -> targets.put(new TargetName(item.getName()), toTarget(item)));
    TreeMap<NodeName, AnnouncedTarget> announced = new TreeMap<>();
    for (AnnouncedData item : data.getAnnouncedList()) {
      ClusterStateMachine.toAnnouncedTarget(item.getJoined(), item.getOffset())
          .ifPresent(value -> announced.put(value.node(), value));
    }
    return new ClusterState(
        data.getOffset(),
        data.getFormatLevel(),
        services,
        rules,
        targets,
        announced,
        data.getVerdictsList().stream().map(CheckpointCodec::toVerdict).toList(),
        data.getRecentRecordIdsList());
  }

  private static void put(Map<ServiceName, ServiceSpec> services, ServiceSpec service) {
    services.put(service.name(), service);
  }

  private static ServiceSpec toService(ServiceData data) {
    return new ServiceSpec(
        new ServiceName(data.getName()),
        new NoteId(data.getRevision()),
        data.getAvailabilityObjective(),
        data.getLatencyObjectiveMillis(),
        data.getLatencyShare(),
        data.getDefaultDeadlineMillis(),
        required(ServiceSpec.Weighting.parse(data.getWeigh()), data.getWeigh()),
        data.getProbesPerSecond(),
        data.getRetryShare());
  }

  private static RuleSpec toRule(RuleData data) {
    List<CallKind> calls = new ArrayList<>();
    for (CallKindData kind : data.getCallsList()) {
      calls.add(
          new CallKind(
              kind.getPathPrefix(),
              kind.getMethodsList(),
              kind.getIdempotent(),
              required(Priority.parse(kind.getPriority()), kind.getPriority()),
              kind.getDeadlineMillis()));
    }
    return new RuleSpec(
        new RuleName(data.getName()),
        new NoteId(data.getRevision()),
        new ServiceName(data.getService()),
        data.getPathPrefix(),
        data.getHost(),
        calls);
  }

  private static TargetSpec toTarget(TargetData data) {
    return new TargetSpec(
        new TargetName(data.getName()),
        new NoteId(data.getRevision()),
        new ServiceName(data.getService()));
  }

  private static Verdict toVerdict(VerdictData data) {
    NoteId note = new NoteId(data.getNoteId());
    if (data.getAccepted()) {
      return new Verdict.Accepted(note, data.getOffset());
    }
    List<Reason> reasons = new ArrayList<>();
    for (ReasonData reason : data.getReasonsList()) {
      reasons.add(
          new Reason(
              Reason.Code.of(reason.getCode()),
              reason.getItem(),
              reason.getLine(),
              reason.getMessage()));
    }
    return new Verdict.Refused(note, data.getOffset(), reasons);
  }

  private static <T> T required(Optional<T> value, String text) {
    return value.orElseThrow(() -> new IllegalArgumentException("unknown value: " + text));
  }
}
