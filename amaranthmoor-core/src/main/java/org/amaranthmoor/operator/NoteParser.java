package org.amaranthmoor.operator;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.config.CallKind;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.config.RuleSpec;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.TargetSpec;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.yaml.ParseResult;
import org.amaranthmoor.yaml.Problem;
import org.amaranthmoor.yaml.Section;
import org.amaranthmoor.yaml.YamlNode;
import org.amaranthmoor.yaml.YamlReader;

/**
 * Parses the text of a release note.
 *
 * <p>The result depends only on the text, so all nodes get the same result. Stateless and safe for
 * use by several threads.
 */
public final class NoteParser {

  /** Maximum length of a note, in characters. */
  public static final int MAX_CHARACTERS = 1 << 20;

  private static final List<String> METHODS =
      List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");
  // Replaces invalid names so that parsing continues; a note that contains it is refused.
  private static final String PLACEHOLDER_NAME = "unreadable";

  private final List<Problem> problems = new ArrayList<>();
  private final List<NoteChange> changes = new ArrayList<>();

  private NoteParser() {}

  /**
   * Parses a note.
   *
   * @param text the note as YAML
   * @return the note, or the reasons for which it is invalid
   */
  public static NoteParseResult parse(String text) {
    if (text.length() > MAX_CHARACTERS) {
      return invalid(
          Optional.empty(),
          List.of(
              new Reason(
                  Reason.Code.MALFORMED, "", 1, "longer than " + MAX_CHARACTERS + " characters")));
    }
    return switch (YamlReader.read(text)) {
      case ParseResult.Invalid<YamlNode.Mapping> invalid ->
          invalid(Optional.empty(), toReasons(invalid.problems()));
      case ParseResult.Valid<YamlNode.Mapping> valid -> new NoteParser().readRoot(valid.value());
    };
  }

  /**
   * Returns whether calls with a method are idempotent unless a rule declares otherwise.
   *
   * @param method the HTTP method
   * @return whether it is idempotent
   */
  public static boolean isIdempotentByDefault(String method) {
    return IDEMPOTENT_METHODS.contains(method);
  }

  private NoteParseResult readRoot(YamlNode.Mapping root) {
    Section section = new Section(root, "", problems);
    int format = (int) section.number("format", 0, 1, Integer.MAX_VALUE);
    Optional<NoteId> id = section.optionalText("note").filter(Names::isName).map(NoteId::new);
    if (format > ReleaseNote.NEWEST_FORMAT) {
      return newerFormat(section, id, format);
    }
    requireFormatAndId(section, id);
    NoteId note = id.orElse(new NoteId(PLACEHOLDER_NAME));
    section.sections("services").forEach(item -> readService(item, note));
    section.sections("rules").forEach(item -> readRule(item, note));
    section.sections("targets").forEach(item -> readTarget(item, note));
    Optional<String> end = section.optionalText("end");
    section.rejectUnknownKeys();
    List<Reason> reasons = toReasons(problems);
    checkEndMark(section, end, note).ifPresent(reasons::add);
    if (changes.isEmpty() && reasons.isEmpty()) {
      reasons.add(new Reason(Reason.Code.MALFORMED, "", 1, "the note changes nothing"));
    }
    if (!reasons.isEmpty()) {
      return invalid(id, reasons);
    }
    return new NoteParseResult.Valid(new ReleaseNote(format, note, changes));
  }

  private static NoteParseResult newerFormat(Section section, Optional<NoteId> id, int format) {
    String message =
        "expected format " + ReleaseNote.NEWEST_FORMAT + " or older, but found: " + format;
    return invalid(
        id, List.of(new Reason(Reason.Code.FORMAT, "", section.lineOf("format"), message)));
  }

  private static void requireFormatAndId(Section section, Optional<NoteId> id) {
    if (!section.has("format")) {
      section.problem("format", "the key is missing");
    }
    if (id.isEmpty()) {
      section.problem("note", "expected an id of " + Names.FORMAT);
    }
  }

  private static Optional<Reason> checkEndMark(Section section, Optional<String> end, NoteId note) {
    if (end.isPresent() && end.get().equals(note.value())) {
      return Optional.empty();
    }
    String message =
        "the last key must be \"end: " + note + "\"; without it the file counts as cut short";
    return Optional.of(new Reason(Reason.Code.TRUNCATED, "", section.lineOf("end"), message));
  }

  private void readService(Section item, NoteId note) {
    Action action = readAction(item);
    if (action.verb == Verb.WITHDRAW) {
      addWithdrawal(NoteChange.Kind.SERVICE, item, action);
      return;
    }
    ServiceSpec spec =
        new ServiceSpec(
            new ServiceName(action.name),
            note,
            item.decimal("availability", 0.999, 0.5, 0.999999),
            (int) item.number("latency-millis", 250, 1, 600_000),
            item.decimal("latency-share", 0.99, 0.5, 0.9999),
            (int) item.number("deadline-millis", 10_000, 10, 3_600_000),
            readWeighting(item),
            item.decimal("probes-per-second", 5, 0, 1_000),
            item.decimal("retry-share", 0.1, 0, 0.5));
    item.rejectUnknownKeys();
    changes.add(new NoteChange.PutService(spec, action.buildsOn, item.line(), action.overrides));
  }

  private static ServiceSpec.Weighting readWeighting(Section item) {
    if (!item.has("weigh")) {
      item.optionalText("weigh");
      return ServiceSpec.Weighting.COST;
    }
    return item.parsed(
        "weigh", ServiceSpec.Weighting::parse, "cost or tail", ServiceSpec.Weighting.COST);
  }

  private void readRule(Section item, NoteId note) {
    Action action = readAction(item);
    if (action.verb == Verb.WITHDRAW) {
      addWithdrawal(NoteChange.Kind.RULE, item, action);
      return;
    }
    RuleSpec spec =
        new RuleSpec(
            new RuleName(action.name),
            note,
            new ServiceName(readName(item, "service")),
            readPathPrefix(item),
            item.optionalText("host").orElse("").toLowerCase(Locale.ROOT),
            item.sections("calls").stream().map(this::readCallKind).toList());
    item.rejectUnknownKeys();
    changes.add(new NoteChange.PutRule(spec, action.buildsOn, item.line(), action.overrides));
  }

  private CallKind readCallKind(Section item) {
    List<String> methods = item.texts("methods");
    for (String method : methods) {
      if (!METHODS.contains(method)) {
        item.problem(
            "methods", "expected some of " + String.join(", ", METHODS) + ", but found: " + method);
      }
    }
    boolean idempotentByDefault =
        !methods.isEmpty() && methods.stream().allMatch(NoteParser::isIdempotentByDefault);
    CallKind kind =
        new CallKind(
            readPathPrefix(item),
            methods,
            item.flag("idempotent", idempotentByDefault),
            readPriority(item),
            (int) item.number("deadline-millis", 0, 10, 3_600_000));
    item.rejectUnknownKeys();
    return kind;
  }

  private static Priority readPriority(Section item) {
    if (!item.has("priority")) {
      item.optionalText("priority");
      return Priority.NORMAL;
    }
    return item.parsed("priority", Priority::parse, "critical, normal or browse", Priority.NORMAL);
  }

  private static String readPathPrefix(Section item) {
    String prefix = item.optionalText("path-prefix").orElse("/");
    if (!prefix.startsWith("/")) {
      item.problem("path-prefix", "expected a path that starts with /, but found: " + prefix);
    }
    return prefix;
  }

  private void readTarget(Section item, NoteId note) {
    Action action = readAction(item);
    if (action.verb == Verb.WITHDRAW) {
      addWithdrawal(NoteChange.Kind.TARGET, item, action);
      return;
    }
    TargetSpec spec =
        new TargetSpec(
            new TargetName(action.name), note, new ServiceName(readName(item, "service")));
    item.rejectUnknownKeys();
    changes.add(new NoteChange.PutTarget(spec, action.buildsOn, item.line(), action.overrides));
  }

  private void addWithdrawal(NoteChange.Kind kind, Section item, Action action) {
    item.rejectUnknownKeys();
    changes.add(
        new NoteChange.Withdraw(kind, action.name, action.buildsOn, item.line(), action.overrides));
  }

  private Action readAction(Section item) {
    List<Verb> verbs = new ArrayList<>();
    for (Verb verb : Verb.values()) {
      item.optionalText(verb.key);
      if (item.has(verb.key)) {
        verbs.add(verb);
      }
    }
    Optional<String> buildsOn = item.optionalText("builds-on");
    Set<Reason.Code> overrides = readOverrides(item);
    if (verbs.size() != 1) {
      item.problem("add", "expected exactly one of add, change and withdraw");
      return new Action(Verb.ADD, PLACEHOLDER_NAME, Optional.empty(), overrides);
    }
    Verb verb = verbs.getFirst();
    String name = readName(item, verb.key);
    return new Action(verb, name, readBuildsOn(item, verb, buildsOn), overrides);
  }

  private static Optional<NoteId> readBuildsOn(Section item, Verb verb, Optional<String> buildsOn) {
    if (verb == Verb.ADD) {
      if (item.has("builds-on")) {
        item.problem("builds-on", "an added item builds on nothing");
      }
      return Optional.empty();
    }
    if (buildsOn.isEmpty() || !Names.isName(buildsOn.get())) {
      item.problem(
          "builds-on", "expected the id of the note that last changed the item; see status");
      return Optional.of(new NoteId(PLACEHOLDER_NAME));
    }
    return Optional.of(new NoteId(buildsOn.get()));
  }

  private static Set<Reason.Code> readOverrides(Section item) {
    Map<String, Reason.Code> known =
        Map.of(
            "stranded", Reason.Code.STRANDED,
            "withdraws-too-many", Reason.Code.WITHDRAWS_TOO_MANY);
    Set<Reason.Code> overrides = EnumSet.noneOf(Reason.Code.class);
    for (String text : item.texts("override")) {
      Reason.Code code = known.get(text);
      if (code == null) {
        item.problem(
            "override", "expected some of stranded, withdraws-too-many, but found: " + text);
      } else {
        overrides.add(code);
      }
    }
    return overrides;
  }

  private static String readName(Section item, String key) {
    String name = item.text(key);
    if (!name.isEmpty() && !Names.isName(name)) {
      item.problem(key, "expected " + Names.FORMAT + ", but found: " + name);
    }
    return Names.isName(name) ? name : PLACEHOLDER_NAME;
  }

  private static List<Reason> toReasons(List<Problem> problems) {
    List<Reason> reasons = new ArrayList<>();
    for (Problem problem : problems) {
      reasons.add(
          new Reason(Reason.Code.MALFORMED, problem.key(), problem.line(), problem.message()));
    }
    return reasons;
  }

  private static NoteParseResult invalid(Optional<NoteId> id, List<Reason> reasons) {
    return new NoteParseResult.Invalid(id, reasons);
  }

  private enum Verb {
    ADD("add"),
    CHANGE("change"),
    WITHDRAW("withdraw");

    private final String key;

    Verb(String key) {
      this.key = key;
    }
  }

  private record Action(
      Verb verb, String name, Optional<NoteId> buildsOn, Set<Reason.Code> overrides) {}
}
