package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.Optional;
import org.amaranthmoor.daemon.platform.HttpPlatformLog;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.operator.NoteParseResult;
import org.amaranthmoor.operator.NoteParser;
import org.amaranthmoor.platform.NotePublisher;
import org.amaranthmoor.platform.Verdict;

/** Publishes a release note and waits for the verdict. */
@com.github.rvesse.airline.annotations.Command(
    name = "publish",
    description = "Publishes a release note and waits for the verdict")
public final class PublishCommand implements Command {

  @Arguments(description = "File with the release note")
  @Required
  private String file;

  @Option(name = "--platform", description = "Address of the platform's log")
  @Required
  private String platform;

  /** Creates the command. */
  public PublishCommand() {}

  @Override
  public int run() throws Exception {
    String text = Input.readFile(file);
    Optional<NoteId> id = parseNoteId(text);
    if (id.isEmpty()) {
      return ExitCode.INVALID_INPUT;
    }
    NotePublisher publisher =
        new NotePublisher(
            new HttpPlatformLog(Input.parseEndpoint("--platform", platform)),
            PublishCommand::sleepMillis);
    return printResult(id.get(), publisher.publish(id.get(), text));
  }

  // Rejects a note that cannot be parsed, so that it is not appended to the log.
  private Optional<NoteId> parseNoteId(String text) {
    return switch (NoteParser.parse(text)) {
      case NoteParseResult.Valid valid -> Optional.of(valid.note().id());
      case NoteParseResult.Invalid invalid -> {
        invalid.reasons().forEach(reason -> System.err.println(file + ": " + reason.render()));
        System.err.println("not published: " + file + " cannot be parsed as a release note");
        yield Optional.empty();
      }
    };
  }

  private int printResult(NoteId id, NotePublisher.Result published) {
    return switch (published) {
      case NotePublisher.Result.Decided decided -> printVerdict(decided.verdict());
      case NotePublisher.Result.NotPublished notPublished -> {
        System.err.println("not published: " + id + ": " + notPublished.detail());
        yield ExitCode.FAILED;
      }
      case NotePublisher.Result.Unknown unknown -> {
        System.err.println("unknown: " + id + " may be in the log: " + unknown.detail());
        System.err.println(
            "run the same command again, as a note takes effect only once, or check the status");
        yield ExitCode.UNKNOWN;
      }
    };
  }

  private int printVerdict(Verdict verdict) {
    return switch (verdict) {
      case Verdict.Accepted accepted -> {
        System.out.println("accepted: " + accepted.note() + " at offset " + accepted.offset());
        yield ExitCode.OK;
      }
      case Verdict.Refused refused -> {
        System.err.println("refused: " + refused.note() + " at offset " + refused.offset());
        refused.reasons().forEach(reason -> System.err.println(file + ": " + reason.render()));
        yield ExitCode.REFUSED;
      }
    };
  }

  private static void sleepMillis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
