package org.amaranthmoor.operator;

import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.config.RuleSpec;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.TargetSpec;
import org.amaranthmoor.model.NoteId;

/**
 * One item that a release note adds, changes or withdraws.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface NoteChange {

  /** {@return the kind of the item} */
  Kind kind();

  /** {@return the name of the item} */
  String name();

  /** {@return the revision of the item that the change is based on, or empty if the item is new} */
  Optional<NoteId> buildsOn();

  /** {@return the line of the change in the note, counted from 1} */
  int line();

  /** {@return the reasons for refusal that the operator overrides} */
  Set<Reason.Code> overrides();

  /** {@return the kind and name of the item, as used in messages} */
  default String label() {
    return kind().text() + " " + name();
  }

  /** Kinds of items. */
  enum Kind {
    /** A service. */
    SERVICE("service"),
    /** A rule. */
    RULE("rule"),
    /** A target. */
    TARGET("target");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    /** {@return the name of the kind, as used in messages} */
    public String text() {
      return text;
    }
  }

  /**
   * Adds or changes a service.
   *
   * @param spec the service after the change
   * @param buildsOn the revision that is changed, or empty to add the item
   * @param line the line of the change, counted from 1
   * @param overrides the reasons for refusal that the operator overrides
   */
  record PutService(
      ServiceSpec spec, Optional<NoteId> buildsOn, int line, Set<Reason.Code> overrides)
      implements NoteChange {
    @Override
    public Kind kind() {
      return Kind.SERVICE;
    }

    @Override
    public String name() {
      return spec.name().value();
    }
  }

  /**
   * Adds or changes a rule.
   *
   * @param spec the rule after the change
   * @param buildsOn the revision that is changed, or empty to add the item
   * @param line the line of the change, counted from 1
   * @param overrides the reasons for refusal that the operator overrides
   */
  record PutRule(RuleSpec spec, Optional<NoteId> buildsOn, int line, Set<Reason.Code> overrides)
      implements NoteChange {
    @Override
    public Kind kind() {
      return Kind.RULE;
    }

    @Override
    public String name() {
      return spec.name().value();
    }
  }

  /**
   * Admits a target to a service, or moves it to another service.
   *
   * @param spec the target after the change
   * @param buildsOn the revision that is changed, or empty to add the item
   * @param line the line of the change, counted from 1
   * @param overrides the reasons for refusal that the operator overrides
   */
  record PutTarget(TargetSpec spec, Optional<NoteId> buildsOn, int line, Set<Reason.Code> overrides)
      implements NoteChange {
    @Override
    public Kind kind() {
      return Kind.TARGET;
    }

    @Override
    public String name() {
      return spec.name().value();
    }
  }

  /**
   * Withdraws an item.
   *
   * @param kind the kind of the item
   * @param name the name of the item
   * @param buildsOn the revision that is withdrawn
   * @param line the line of the change, counted from 1
   * @param overrides the reasons for refusal that the operator overrides
   */
  record Withdraw(
      Kind kind, String name, Optional<NoteId> buildsOn, int line, Set<Reason.Code> overrides)
      implements NoteChange {}
}
