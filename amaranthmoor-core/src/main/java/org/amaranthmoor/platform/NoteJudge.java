package org.amaranthmoor.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.config.RuleSpec;
import org.amaranthmoor.config.TargetSpec;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.operator.NoteChange;
import org.amaranthmoor.operator.ReleaseNote;

/**
 * Decides whether a release note is accepted.
 *
 * <p>The decision depends only on the state before the note and on the note, so every node reaches
 * the same one without talking to another. Confined to one thread; one instance judges one note.
 */
final class NoteJudge {

  /** Largest share of a service's targets that one note may withdraw without an override. */
  static final double MAX_WITHDRAWN_SHARE = 0.34;

  private final ClusterState before;
  private final ReleaseNote note;
  private final StateDraft draft;
  private final List<Reason> reasons = new ArrayList<>();

  private NoteJudge(ClusterState before, ReleaseNote note) {
    this.before = before;
    this.note = note;
    this.draft = new StateDraft(before);
  }

  /** Result of judging a note. */
  sealed interface Judgement {
    /** The note is accepted and the draft is the state after it. */
    record Accept(StateDraft draft) implements Judgement {}

    /** The note is refused. */
    record Refuse(List<Reason> reasons) implements Judgement {}
  }

  static Judgement judge(ClusterState before, ReleaseNote note) {
    NoteJudge judge = new NoteJudge(before, note);
    judge.run();
    if (judge.reasons.isEmpty()) {
      return new Judgement.Accept(judge.draft);
    }
    judge.reasons.sort(Comparator.comparingInt(Reason::line));
    return new Judgement.Refuse(judge.reasons);
  }

  private void run() {
    if (note.format() > before.formatLevel()) {
      reasons.add(
          new Reason(Reason.Code.FORMAT, "", 1, "the state allows format " + before.formatLevel()));
      return;
    }
    checkEachItemOnce();
    note.changes().forEach(this::checkRevision);
    if (!reasons.isEmpty()) {
      return;
    }
    note.changes().forEach(this::apply);
    checkReferences();
    checkAmbiguousRules();
    checkStranded();
    checkWithdrawnShare();
  }

  private void checkEachItemOnce() {
    Set<String> seen = new HashSet<>();
    for (NoteChange change : note.changes()) {
      if (!seen.add(change.label())) {
        refuse(Reason.Code.CONTRADICTION, change, "the note names this item twice");
      }
    }
  }

  private void checkRevision(NoteChange change) {
    Optional<NoteId> current = currentRevision(change);
    if (change.buildsOn().isEmpty()) {
      current.ifPresent(
          revision ->
              refuse(
                  Reason.Code.EXISTS,
                  change,
                  "cannot be added: it exists, last changed by note " + revision));
      return;
    }
    if (current.isEmpty()) {
      refuse(Reason.Code.ABSENT, change, "does not exist");
      return;
    }
    if (!current.equals(change.buildsOn())) {
      refuse(
          Reason.Code.CONFLICT,
          change,
          "builds on note "
              + change.buildsOn().get()
              + ", but note "
              + current.get()
              + " changed it first");
    }
  }

  private Optional<NoteId> currentRevision(NoteChange change) {
    return switch (change.kind()) {
      case SERVICE ->
          Optional.ofNullable(before.services().get(new ServiceName(change.name())))
              .map(spec -> spec.revision());
      case RULE ->
          Optional.ofNullable(before.rules().get(new RuleName(change.name())))
              .map(spec -> spec.revision());
      case TARGET ->
          Optional.ofNullable(before.targets().get(new TargetName(change.name())))
              .map(spec -> spec.revision());
    };
  }

  private void apply(NoteChange change) {
    switch (change) {
      case NoteChange.PutService put -> draft.services.put(put.spec().name(), put.spec());
      case NoteChange.PutRule put -> draft.rules.put(put.spec().name(), put.spec());
      case NoteChange.PutTarget put -> draft.targets.put(put.spec().name(), put.spec());
      case NoteChange.Withdraw withdraw -> remove(withdraw);
    }
  }

  private void remove(NoteChange.Withdraw withdraw) {
    switch (withdraw.kind()) {
      case SERVICE -> draft.services.remove(new ServiceName(withdraw.name()));
      case RULE -> draft.rules.remove(new RuleName(withdraw.name()));
      case TARGET -> draft.targets.remove(new TargetName(withdraw.name()));
    }
  }

  private void checkReferences() {
    for (RuleSpec rule : draft.rules.values()) {
      checkReference(NoteChange.Kind.RULE, rule.name().value(), rule.service());
    }
    for (TargetSpec target : draft.targets.values()) {
      checkReference(NoteChange.Kind.TARGET, target.name().value(), target.service());
    }
  }

  private void checkReference(NoteChange.Kind kind, String name, ServiceName service) {
    if (!draft.services.containsKey(service)) {
      refuseItem(
          Reason.Code.DANGLING,
          kind.text() + " " + name,
          "refers to service " + service + ", which does not exist after this note");
    }
  }

  private void checkAmbiguousRules() {
    Map<String, RuleName> byMatch = new TreeMap<>();
    for (RuleSpec rule : draft.rules.values()) {
      RuleName other = byMatch.putIfAbsent(rule.host() + " " + rule.pathPrefix(), rule.name());
      if (other != null) {
        refuseItem(
            Reason.Code.AMBIGUOUS,
            "rule " + rule.name(),
            "matches the same host and path prefix as rule " + other);
      }
    }
  }

  private void checkStranded() {
    Map<ServiceName, Long> counts = targetCounts(draft.targets.values());
    for (RuleSpec rule : draft.rules.values()) {
      boolean exists = draft.services.containsKey(rule.service());
      boolean empty = counts.getOrDefault(rule.service(), 0L) == 0;
      if (exists && empty && !overridden(Reason.Code.STRANDED)) {
        refuseItem(
            Reason.Code.STRANDED,
            "rule " + rule.name(),
            "would send calls to service " + rule.service() + ", which would have no target");
      }
    }
  }

  private void checkWithdrawnShare() {
    Map<ServiceName, Long> had = targetCounts(before.targets().values());
    Map<ServiceName, Long> lost = targetCounts(lostTargets());
    lost.forEach(
        (service, count) -> {
          long total = had.getOrDefault(service, 0L);
          boolean serviceStays = draft.services.containsKey(service);
          boolean tooMany = count > 1 && count > total * MAX_WITHDRAWN_SHARE;
          if (serviceStays && tooMany && !overridden(Reason.Code.WITHDRAWS_TOO_MANY)) {
            refuseItem(
                Reason.Code.WITHDRAWS_TOO_MANY,
                "service " + service,
                "would lose " + count + " of its " + total + " targets at once");
          }
        });
  }

  private List<TargetSpec> lostTargets() {
    return before.targets().values().stream().filter(target -> !staysInService(target)).toList();
  }

  private boolean staysInService(TargetSpec target) {
    TargetSpec after = draft.targets.get(target.name());
    return after != null && after.service().equals(target.service());
  }

  private static Map<ServiceName, Long> targetCounts(Iterable<TargetSpec> targets) {
    Map<ServiceName, Long> counts = new HashMap<>();
    targets.forEach(target -> counts.merge(target.service(), 1L, Long::sum));
    return counts;
  }

  private boolean overridden(Reason.Code code) {
    return note.changes().stream().anyMatch(change -> change.overrides().contains(code));
  }

  private void refuse(Reason.Code code, NoteChange change, String message) {
    reasons.add(new Reason(code, change.label(), change.line(), message));
  }

  private void refuseItem(Reason.Code code, String label, String message) {
    int line =
        note.changes().stream()
            .filter(change -> change.label().equals(label))
            .mapToInt(NoteChange::line)
            .findFirst()
            .orElse(1);
    reasons.add(new Reason(code, label, line, message));
  }
}
