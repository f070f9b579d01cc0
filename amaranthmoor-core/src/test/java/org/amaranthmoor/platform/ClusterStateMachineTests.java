package org.amaranthmoor.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.protocol.platform.LogRecord;
import org.amaranthmoor.testing.Notes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClusterStateMachineTests {

  private static final ClusterState WITH_SERVICE =
      Notes.fold(Notes.noteRecord("first", Notes.addServiceNote("first", "lending", 6)));

  private static List<Reason> refused(ClusterState state, String note) {
    return assertInstanceOf(Verdict.Refused.class, state.verdict(new NoteId(note)).orElseThrow())
        .reasons();
  }

  private static ClusterState publish(ClusterState state, String id, String... lines) {
    return Notes.apply(state, Notes.noteRecord(id, Notes.note(id, lines)));
  }

  @Test
  void acceptsANoteAndAppliesItsChanges() {
    assertInstanceOf(
        Verdict.Accepted.class, WITH_SERVICE.verdict(new NoteId("first")).orElseThrow());
    assertEquals(6, WITH_SERVICE.admittedTargetCount(new ServiceName("lending")));
  }

  @Test
  void aRefusedNoteChangesNothingButTheOffsetAndTheVerdicts() {
    ClusterState after = publish(WITH_SERVICE, "second", "services:", "  - add: lending");

    assertEquals(WITH_SERVICE.services(), after.services());
    assertEquals(WITH_SERVICE.rules(), after.rules());
    assertEquals(WITH_SERVICE.targets(), after.targets());
    assertEquals(Reason.Code.EXISTS, refused(after, "second").getFirst().code());
  }

  @Nested
  class WhenTwoOperatorsChangeOneItem {

    private final ClusterState after =
        publish(
            publish(WITH_SERVICE, "a", "services:", "  - change: lending", "    builds-on: first"),
            "b",
            "services:",
            "  - change: lending",
            "    builds-on: first");

    @Test
    void theFirstInTheLogIsAccepted() {
      assertEquals(new NoteId("a"), after.services().get(new ServiceName("lending")).revision());
    }

    @Test
    void theSecondIsRefusedWithTheItemAndTheFirstNote() {
      Reason reason = refused(after, "b").getFirst();

      assertEquals(Reason.Code.CONFLICT, reason.code());
      assertEquals("service lending", reason.item());
      assertEquals("builds on note first, but note a changed it first", reason.message());
    }
  }

  @Nested
  class ValidationRules {

    private Reason.Code codeOf(String... lines) {
      return refused(publish(WITH_SERVICE, "harm", lines), "harm").getFirst().code();
    }

    @Test
    void refuseARuleWithoutItsService() {
      assertEquals(
          Reason.Code.DANGLING,
          codeOf("rules:", "  - add: r", "    service: nowhere", "    path-prefix: /r"));
    }

    @Test
    void refuseToWithdrawAServiceInUse() {
      assertEquals(
          Reason.Code.DANGLING,
          codeOf("services:", "  - withdraw: lending", "    builds-on: first"));
    }

    @Test
    void refuseAServiceInUseWithoutTargets() {
      assertEquals(
          Reason.Code.STRANDED,
          codeOf(
              "services:",
              "  - add: empty",
              "rules:",
              "  - add: empty",
              "    service: empty",
              "    path-prefix: /empty"));
    }

    @Test
    void refuseToWithdrawManyTargetsAtOnce() {
      assertEquals(
          Reason.Code.WITHDRAWS_TOO_MANY,
          codeOf(
              "targets:",
              "  - withdraw: lending-1",
              "    builds-on: first",
              "  - withdraw: lending-2",
              "    builds-on: first",
              "  - withdraw: lending-3",
              "    builds-on: first"));
    }

    @Test
    void acceptANoteWithAnOverride() {
      ClusterState after =
          publish(
              WITH_SERVICE,
              "harm",
              "targets:",
              "  - withdraw: lending-1",
              "    builds-on: first",
              "    override: [withdraws-too-many]",
              "  - withdraw: lending-2",
              "    builds-on: first",
              "  - withdraw: lending-3",
              "    builds-on: first");

      assertEquals(3, after.admittedTargetCount(new ServiceName("lending")));
    }

    @Test
    void refuseTwoRulesWithTheSamePathPrefix() {
      assertEquals(
          Reason.Code.AMBIGUOUS,
          codeOf("rules:", "  - add: r", "    service: lending", "    path-prefix: /lending"));
    }

    @Test
    void refuseANoteThatNamesAnItemTwice() {
      assertEquals(
          Reason.Code.CONTRADICTION,
          codeOf(
              "targets:",
              "  - withdraw: lending-1",
              "    builds-on: first",
              "  - change: lending-1",
              "    builds-on: first",
              "    service: lending"));
    }
  }

  @Nested
  class RepeatedAndUnreadableRecords {

    @Test
    void aRepeatedRecordIsIgnored() {
      ClusterState again =
          Notes.apply(
              WITH_SERVICE, Notes.noteRecord("first", Notes.addServiceNote("first", "lending", 6)));

      assertEquals(1, again.verdicts().size());
      assertEquals(WITH_SERVICE.services(), again.services());
    }

    @Test
    void anotherNoteWithTheSameIdIsRefused() {
      ClusterState again =
          Notes.apply(
              WITH_SERVICE,
              Notes.noteRecord("first", Notes.addServiceNote("first", "production", 6)));

      assertEquals(2, again.verdicts().size());
      assertTrue(again.services().containsKey(new ServiceName("lending")));
      assertEquals(1, again.services().size());
    }

    @Test
    void malformedRecordsChangeOnlyTheOffset() {
      ClusterState after =
          ClusterStateMachine.apply(WITH_SERVICE, WITH_SERVICE.offset() + 1, new byte[] {1, 2, 3});

      assertEquals(WITH_SERVICE.services(), after.services());
      assertEquals(WITH_SERVICE.offset() + 1, after.offset());
    }

    @Test
    void aRecordOfANewerFormatChangesOnlyTheOffset() {
      LogRecord newer =
          Notes.noteRecord("second", Notes.addServiceNote("second", "production", 6)).toBuilder()
              .setFormat(2)
              .build();

      assertEquals(WITH_SERVICE.services(), Notes.apply(WITH_SERVICE, newer).services());
    }

    @Test
    void anOffsetThatIsNotGreaterIsRefused() {
      IllegalArgumentException e =
          assertThrows(
              IllegalArgumentException.class,
              () -> ClusterStateMachine.apply(WITH_SERVICE, 0, new byte[0]));

      assertEquals("offset must be greater than 0, but was: 0", e.getMessage());
    }
  }

  @Nested
  class Announcements {

    private final ClusterState joined =
        Notes.apply(WITH_SERVICE, Notes.joinedRecord("n1", 10, "lending-1"));

    @Test
    void aNewIncarnationReplacesAnOldOne() {
      ClusterState after = Notes.apply(joined, Notes.joinedRecord("n1", 11, "lending-1"));

      assertEquals(
          new Incarnation(11), after.announcedTargets().get(new NodeName("n1")).incarnation());
    }

    @Test
    void anOldIncarnationDoesNotReplaceANewOne() {
      ClusterState after = Notes.apply(joined, Notes.joinedRecord("n1", 9, "lending-1"));

      assertEquals(
          new Incarnation(10), after.announcedTargets().get(new NodeName("n1")).incarnation());
    }

    @Test
    void aLateLeaveOfAnOldIncarnationIsIgnored() {
      ClusterState after =
          Notes.apply(joined, LogRecords.left(new NodeName("n1"), new Incarnation(9)));

      assertEquals(1, after.announcedTargets().size());
    }

    @Test
    void anEvictionByAMemberOfTheSameServiceRemovesTheNode() {
      ClusterState two = Notes.apply(joined, Notes.joinedRecord("n2", 5, "lending-2"));
      ClusterState after =
          Notes.apply(
              two, LogRecords.evicted(new NodeName("n1"), new Incarnation(10), new NodeName("n2")));

      assertEquals(1, after.announcedTargets().size());
    }

    @Test
    void anEvictionByANodeOutsideTheServiceIsIgnored() {
      ClusterState after =
          Notes.apply(
              joined,
              LogRecords.evicted(new NodeName("n1"), new Incarnation(10), new NodeName("n9")));

      assertEquals(1, after.announcedTargets().size());
    }
  }
}
