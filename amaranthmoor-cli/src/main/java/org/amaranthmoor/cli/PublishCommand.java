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
    Optional<NoteId> id = readableId(text);
    if (id.isEmpty()) {
      return ExitCode.INVALID_INPUT;
    }
    NotePublisher publisher =
        new NotePublisher(
            new HttpPlatformLog(Input.endpoint("--platform", platform)),
            PublishCommand::pauseMillis);
    return report(id.get(), publisher.publish(id.get(), text));
  }

  // A note that cannot be read is refused here, so that nothing of it reaches the log.
  private Optional<NoteId> readableId(String text) {
    return switch (NoteParser.parse(text)) {
      case NoteParseResult.Valid valid -> Optional.of(valid.note().id());
      case NoteParseResult.Invalid invalid -> {
        invalid.reasons().forEach(r -> System.err.println(file + ": " + r.render()));
        System.err.println("not published: the note cannot be read");
        yield Optional.empty();
      }
    };
  }

  private int report(NoteId id, NotePublisher.Result published) {
    return switch (published) {
      case NotePublisher.Result.Decided decided -> report(decided.verdict());
      case NotePublisher.Result.NotPublished not -> {
        System.err.println("not published: " + id + ": " + not.detail());
        yield ExitCode.FAILED;
      }
      case NotePublisher.Result.Unknown unknown -> {
        System.err.println("unknown: " + id + " may be in the log: " + unknown.detail());
        System.err.println("run the same command again: a note counts once; or look at status");
        yield ExitCode.UNKNOWN;
      }
    };
  }

  private int report(Verdict verdict) {
    return switch (verdict) {
      case Verdict.Accepted accepted -> {
        System.out.println("accepted: " + accepted.note() + " at offset " + accepted.offset());
        yield ExitCode.OK;
      }
      case Verdict.Refused refused -> {
        System.err.println("refused: " + refused.note() + " at offset " + refused.offset());
        refused.reasons().forEach(r -> System.err.println(file + ": " + r.render()));
        yield ExitCode.REFUSED;
      }
    };
  }

  private static void pauseMillis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
