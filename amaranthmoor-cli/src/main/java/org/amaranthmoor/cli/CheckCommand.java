package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.daemon.platform.HttpPlatformLog;
import org.amaranthmoor.operator.NoteParseResult;
import org.amaranthmoor.operator.NoteParser;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.ClusterStateMachine;
import org.amaranthmoor.platform.StateReader;

/** Checks a release note without publishing it. */
@com.github.rvesse.airline.annotations.Command(
    name = "check",
    description = "Checks a release note by itself and, with --platform, against the present state")
public final class CheckCommand implements Command {

  private static final int MAX_STEPS = 10_000;

  @Arguments(description = "File with the release note")
  @Required
  private String file;

  @Option(name = "--platform", description = "Address of the platform's log")
  private String platform;

  /** Creates the command. */
  public CheckCommand() {}

  @Override
  public int run() throws Exception {
    String text = Input.readFile(file);
    List<Reason> reasons = platform == null ? checkAlone(text) : checkAgainstState(text);
    if (reasons.isEmpty()) {
      System.out.println(file + ": no problems found");
      return ExitCode.OK;
    }
    reasons.forEach(reason -> System.err.println(file + ": " + reason.render()));
    return ExitCode.INVALID_INPUT;
  }

  private static List<Reason> checkAlone(String text) {
    return switch (NoteParser.parse(text)) {
      case NoteParseResult.Valid valid -> List.of();
      case NoteParseResult.Invalid invalid -> invalid.reasons();
    };
  }

  private List<Reason> checkAgainstState(String text) throws Input.BadInputException {
    StateReader reader =
        new StateReader(new HttpPlatformLog(Input.endpoint("--platform", platform)));
    ClusterState state = ClusterState.empty();
    for (int i = 0; i < MAX_STEPS; i++) {
      switch (reader.step(state, 0)) {
        case StateReader.Step.Progress progress -> {
          state = progress.state();
          if (progress.atEnd()) {
            return ClusterStateMachine.check(state, text);
          }
        }
        case StateReader.Step.Unavailable unavailable ->
            throw new Input.BadInputException("the log cannot be read: " + unavailable.detail());
      }
    }
    throw new Input.BadInputException("the log grows faster than it can be read");
  }
}
