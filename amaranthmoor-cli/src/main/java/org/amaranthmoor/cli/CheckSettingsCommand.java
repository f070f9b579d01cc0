package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.amaranthmoor.daemon.settings.NodeSettings;
import org.amaranthmoor.daemon.settings.NodeSettingsReader;
import org.amaranthmoor.yaml.ParseResult;

/** Checks the settings of a node without starting it. */
@com.github.rvesse.airline.annotations.Command(
    name = "check-settings",
    description = "Checks a node's settings without starting it")
public final class CheckSettingsCommand implements Command {

  @Arguments(description = "File with the settings")
  @Required
  private String file;

  /** Creates the command. */
  public CheckSettingsCommand() {}

  @Override
  public int run() throws Exception {
    return switch (NodeSettingsReader.read(Input.readFile(file))) {
      case ParseResult.Invalid<NodeSettings> invalid -> {
        Input.print(invalid.problems(), file);
        yield ExitCode.INVALID_INPUT;
      }
      case ParseResult.Valid<NodeSettings> valid -> {
        System.out.println(file + ": valid settings of node " + valid.value().node());
        yield ExitCode.OK;
      }
    };
  }
}
