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
 * Validates a release note against the cluster state.
 *
 * <p>The result depends only on the note and the state before it, so all nodes reach the same
 * result without communicating. Confined to one thread; an instance validates a single note.
 */
final class NoteValidator {

  /** Maximum share of a service's targets that a note may withdraw without an override. */
  static final double MAX_WITHDRAWN_SHARE = 0.34;

  private final ClusterState before;
  private final ReleaseNote note;
  private final ClusterStateBuilder builder;
  private final List<Reason> reasons = new ArrayList<>();

  private NoteValidator(ClusterState before, ReleaseNote note) {
    this.before = before;
    this.note = note;
    this.builder = new ClusterStateBuilder(before);
  }

  /** Result of the validation. */
  sealed interface Validation {
    /** The note is accepted; the builder holds the state after it. */
    record Valid(ClusterStateBuilder builder) implements Validation {}

    /** The note is refused. */
    record Invalid(List<Reason> reasons) implements Validation {}
  }

  static Validation validate(ClusterState before, ReleaseNote note) {
    NoteValidator validator = new NoteValidator(before, note);
    validator.checkAndApply();
    if (validator.reasons.isEmpty()) {
      return new Validation.Valid(validator.builder);
    }
    validator.reasons.sort(Comparator.comparingInt(Reason::line));
    return new Validation.Invalid(validator.reasons);
  }

  private void checkAndApply() {
    if (note.format() > before.formatLevel()) {
      reasons.add(
          new Reason(Reason.Code.FORMAT, "", 1, "the state allows format " + before.formatLevel()));
      return;
    }
    checkItemsAreDistinct();
    note.changes().forEach(this::checkRevision);
    if (!reasons.isEmpty()) {
      return;
    }
    note.changes().forEach(this::apply);
    checkReferences();
    checkAmbiguousRules();
    checkRulesHaveTargets();
    checkWithdrawnShare();
  }

  private void checkItemsAreDistinct() {
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
      case NoteChange.PutService put -> builder.services.put(put.spec().name(), put.spec());
      case NoteChange.PutRule put -> builder.rules.put(put.spec().name(), put.spec());
      case NoteChange.PutTarget put -> builder.targets.put(put.spec().name(), put.spec());
      case NoteChange.Withdraw withdraw -> remove(withdraw);
    }
  }

  private void remove(NoteChange.Withdraw withdraw) {
    switch (withdraw.kind()) {
      case SERVICE -> builder.services.remove(new ServiceName(withdraw.name()));
      case RULE -> builder.rules.remove(new RuleName(withdraw.name()));
      case TARGET -> builder.targets.remove(new TargetName(withdraw.name()));
    }
  }

  private void checkReferences() {
    for (RuleSpec rule : builder.rules.values()) {
      checkReference(NoteChange.Kind.RULE, rule.name().value(), rule.service());
    }
    for (TargetSpec target : builder.targets.values()) {
      checkReference(NoteChange.Kind.TARGET, target.name().value(), target.service());
    }
  }

  private void checkReference(NoteChange.Kind kind, String name, ServiceName service) {
    if (!builder.services.containsKey(service)) {
      refuseItem(
          Reason.Code.DANGLING,
          kind.text() + " " + name,
          "refers to service " + service + ", which does not exist after this note");
    }
  }

  private void checkAmbiguousRules() {
    Map<String, RuleName> byMatch = new TreeMap<>();
    for (RuleSpec rule : builder.rules.values()) {
      RuleName other = byMatch.putIfAbsent(rule.host() + " " + rule.pathPrefix(), rule.name());
      if (other != null) {
        refuseItem(
            Reason.Code.AMBIGUOUS,
            "rule " + rule.name(),
            "matches the same host and path prefix as rule " + other);
      }
    }
  }

  private void checkRulesHaveTargets() {
    Map<ServiceName, Long> counts = targetCounts(builder.targets.values());
    for (RuleSpec rule : builder.rules.values()) {
      boolean exists = builder.services.containsKey(rule.service());
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
          boolean serviceStays = builder.services.containsKey(service);
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
    TargetSpec after = builder.targets.get(target.name());
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
