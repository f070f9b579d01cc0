package org.amaranthmoor.platform;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.operator.NoteParseResult;
import org.amaranthmoor.operator.NoteParser;
import org.amaranthmoor.operator.ReleaseNote;
import org.amaranthmoor.protocol.platform.Evicted;
import org.amaranthmoor.protocol.platform.Joined;
import org.amaranthmoor.protocol.platform.Left;
import org.amaranthmoor.protocol.platform.LogRecord;
import org.amaranthmoor.protocol.platform.NotePublished;

/**
 * Applies log records to the cluster state.
 *
 * <p>A deterministic function: every node that applies the same records in the same order gets the
 * same state. A record that cannot be decoded, or that repeats an earlier one, changes only the
 * offset. Stateless and safe for use by several threads.
 */
public final class ClusterStateMachine {

  /** The record format that this build writes and reads. */
  public static final int RECORD_FORMAT = 1;

  private ClusterStateMachine() {}

  /**
   * Applies one record to a state.
   *
   * @param before the state before the record
   * @param offset the record's offset, greater than the state's
   * @param bytes the record
   * @return the state after the record
   * @throws IllegalArgumentException if the offset is not greater than the state's
   */
  public static ClusterState apply(ClusterState before, long offset, byte[] bytes) {
    if (offset <= before.offset()) {
      throw new IllegalArgumentException(
          "offset must be greater than " + before.offset() + ", but was: " + offset);
    }
    ClusterStateBuilder unchanged = new ClusterStateBuilder(before);
    LogRecord record;
    try {
      record = LogRecord.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      return unchanged.build(offset, before.verdicts(), before.recentRecordIds());
    }
    if (record.getFormat() != RECORD_FORMAT
        || before.recentRecordIds().contains(record.getRecordId())) {
      return unchanged.build(offset, before.verdicts(), before.recentRecordIds());
    }
    List<String> recordIds =
        ClusterStateBuilder.appendBounded(
            before.recentRecordIds(), record.getRecordId(), ClusterState.MAX_RECORD_IDS);
    return switch (record.getBodyCase()) {
      case NOTE -> applyNote(before, offset, record.getNote(), recordIds);
      case JOINED -> applyJoined(before, offset, record.getJoined(), recordIds);
      case LEFT -> applyLeft(before, offset, record.getLeft(), recordIds);
      case EVICTED -> applyEvicted(before, offset, record.getEvicted(), recordIds);
      case BODY_NOT_SET -> unchanged.build(offset, before.verdicts(), recordIds);
    };
  }

  private static ClusterState applyNote(
      ClusterState before, long offset, NotePublished published, List<String> recordIds) {
    if (!Names.isName(published.getNoteId())) {
      return new ClusterStateBuilder(before).build(offset, before.verdicts(), recordIds);
    }
    NoteId id = new NoteId(published.getNoteId());
    NoteValidator.Validation validation = validate(before, id, published.getText());
    Verdict verdict =
        switch (validation) {
          case NoteValidator.Validation.Valid valid -> new Verdict.Accepted(id, offset);
          case NoteValidator.Validation.Invalid invalid ->
              new Verdict.Refused(id, offset, invalid.reasons());
        };
    ClusterStateBuilder builder =
        switch (validation) {
          case NoteValidator.Validation.Valid valid -> valid.builder();
          case NoteValidator.Validation.Invalid invalid -> new ClusterStateBuilder(before);
        };
    List<Verdict> verdicts =
        ClusterStateBuilder.appendBounded(before.verdicts(), verdict, ClusterState.MAX_VERDICTS);
    return builder.build(offset, verdicts, recordIds);
  }

  private static NoteValidator.Validation validate(ClusterState before, NoteId id, String text) {
    if (before.verdict(id).isPresent()) {
      return invalid(Reason.Code.ID_TAKEN, "a note with the id " + id + " stands in the log");
    }
    return validateText(before, id, text);
  }

  private static NoteValidator.Validation validateText(
      ClusterState before, NoteId id, String text) {
    return switch (NoteParser.parse(text)) {
      case NoteParseResult.Invalid invalid ->
          new NoteValidator.Validation.Invalid(invalid.reasons());
      case NoteParseResult.Valid valid -> validateNote(before, id, valid.note());
    };
  }

  private static NoteValidator.Validation validateNote(
      ClusterState before, NoteId id, ReleaseNote note) {
    if (!note.id().equals(id)) {
      return invalid(
          Reason.Code.MALFORMED, "published as " + id + ", but the note is " + note.id());
    }
    return NoteValidator.validate(before, note);
  }

  private static NoteValidator.Validation invalid(Reason.Code code, String message) {
    return new NoteValidator.Validation.Invalid(List.of(new Reason(code, "", 1, message)));
  }

  /**
   * Validates a release note against a state without changing the state.
   *
   * @param state the state
   * @param text the text of the note
   * @return the reasons for which the note would be refused, empty if it would be accepted
   */
  public static List<Reason> check(ClusterState state, String text) {
    NoteParseResult reading = NoteParser.parse(text);
    NoteId id =
        switch (reading) {
          case NoteParseResult.Valid valid -> valid.note().id();
          case NoteParseResult.Invalid invalid -> invalid.id().orElse(new NoteId("unknown"));
        };
    return switch (validate(state, id, text)) {
      case NoteValidator.Validation.Valid valid -> List.of();
      case NoteValidator.Validation.Invalid invalid -> new ArrayList<>(invalid.reasons());
    };
  }

  private static ClusterState applyJoined(
      ClusterState before, long offset, Joined joined, List<String> recordIds) {
    ClusterStateBuilder builder = new ClusterStateBuilder(before);
    toAnnouncedTarget(joined, offset)
        .filter(announced -> isNewest(before, announced))
        .ifPresent(announced -> builder.announcedTargets.put(announced.node(), announced));
    return builder.build(offset, before.verdicts(), recordIds);
  }

  private static boolean isNewest(ClusterState before, AnnouncedTarget announced) {
    AnnouncedTarget current = before.announcedTargets().get(announced.node());
    return current == null || current.incarnation().compareTo(announced.incarnation()) < 0;
  }

  /** Converts an announcement, or returns empty if it contains an invalid name. */
  static Optional<AnnouncedTarget> toAnnouncedTarget(Joined joined, long offset) {
    boolean named =
        Names.isName(joined.getNode())
            && Names.isName(joined.getZone())
            && Names.isName(joined.getRegion())
            && Names.isName(joined.getTarget());
    if (!named) {
      return Optional.empty();
    }
    return Optional.of(
        new AnnouncedTarget(
            new NodeName(joined.getNode()),
            new Incarnation(joined.getIncarnation()),
            joined.getHost(),
            joined.getPort(),
            new ZoneName(joined.getZone()),
            new RegionName(joined.getRegion()),
            new TargetName(joined.getTarget()),
            joined.getSlots(),
            offset));
  }

  private static ClusterState applyLeft(
      ClusterState before, long offset, Left left, List<String> recordIds) {
    return removeAnnouncedTarget(before, offset, left.getNode(), left.getIncarnation(), recordIds);
  }

  // Only a member of the same service may evict a node. Every set of members that an older lease
  // depends on then contains a member that knows of the eviction.
  private static ClusterState applyEvicted(
      ClusterState before, long offset, Evicted evicted, List<String> recordIds) {
    if (!serveTogether(before, evicted.getNode(), evicted.getBy())) {
      return new ClusterStateBuilder(before).build(offset, before.verdicts(), recordIds);
    }
    return removeAnnouncedTarget(
        before, offset, evicted.getNode(), evicted.getIncarnation(), recordIds);
  }

  private static boolean serveTogether(ClusterState state, String node, String other) {
    Optional<ServiceName> service = serviceOf(state, node);
    return !node.equals(other) && service.isPresent() && service.equals(serviceOf(state, other));
  }

  private static Optional<ServiceName> serviceOf(ClusterState state, String node) {
    return Optional.of(node)
        .filter(Names::isName)
        .map(name -> state.announcedTargets().get(new NodeName(name)))
        .flatMap(announced -> state.serviceOf(announced.target()));
  }

  private static ClusterState removeAnnouncedTarget(
      ClusterState before, long offset, String node, long incarnation, List<String> recordIds) {
    ClusterStateBuilder builder = new ClusterStateBuilder(before);
    if (Names.isName(node)) {
      NodeName name = new NodeName(node);
      AnnouncedTarget current = before.announcedTargets().get(name);
      if (current != null && current.incarnation().value() == incarnation) {
        builder.announcedTargets.remove(name);
      }
    }
    return builder.build(offset, before.verdicts(), recordIds);
  }
}
