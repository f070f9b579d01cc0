package org.amaranthmoor.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.util.Arrays;

/** Entry point of the command line. */
public final class Main {

  private Main() {}

  /**
   * Runs a command.
   *
   * @param arguments the command and its options
   */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  static int run(String... arguments) {
    Cli<Command> cli = cli();
    try {
      if (arguments.length == 0 || arguments[0].equals("help")) {
        return help(cli.getMetadata(), arguments);
      }
      return cli.parse(arguments).run();
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      System.err.println("run 'amaranthmoor help' for the commands");
      return ExitCode.USAGE;
    } catch (Input.InvalidInputException e) {
      System.err.println(e.getMessage());
      return ExitCode.INVALID_INPUT;
    } catch (Exception e) {
      System.err.println("failed: " + e.getMessage());
      return ExitCode.FAILED;
    }
  }

  private static Cli<Command> cli() {
    CliBuilder<Command> builder =
        Cli.<Command>builder("amaranthmoor")
            .withDescription("Load balancer for servers whose load shifts in milliseconds")
            .withCommand(NodeCommand.class)
            .withCommand(CheckSettingsCommand.class)
            .withCommand(CheckCommand.class)
            .withCommand(PublishCommand.class)
            .withCommand(StatusCommand.class)
            .withCommand(PlatformStandInCommand.class)
            .withCommand(TargetStandInCommand.class)
            .withCommand(LoadCommand.class)
            .withCommand(PolicyLabCommand.class)
            .withCommand(MeshLabCommand.class)
            .withCommand(MeasurePathCommand.class)
            .withCommand(CapacityCommand.class)
            .withCommand(RandomRunCommand.class);
    builder
        .withGroup("report")
        .withDescription("Reports for operators")
        .withCommand(BurnCommand.class)
        .withCommand(StoryCommand.class);
    return builder.build();
  }

  private static int help(GlobalMetadata<Command> metadata, String[] arguments) throws IOException {
    String[] topics =
        arguments.length < 2 ? new String[0] : Arrays.copyOfRange(arguments, 1, arguments.length);
    Help.help(metadata, Arrays.asList(topics), System.out);
    return ExitCode.OK;
  }
}
