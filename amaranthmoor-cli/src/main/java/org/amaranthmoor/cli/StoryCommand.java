package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.amaranthmoor.report.LogFilter;
import org.amaranthmoor.report.LogLine;
import org.amaranthmoor.report.LogTimeline;

/** Collects the log lines of a request, a target or a configuration from several nodes. */
@com.github.rvesse.airline.annotations.Command(
    name = "story",
    description =
        "Shows all log lines of one request, target run or configuration version, in order of time")
public final class StoryCommand implements Command {

  private static final String STANDARD_INPUT = "standard input";

  @Option(
      name = "--request",
      description = "Id of the request; the calls that it made are shown too")
  private String request;

  @Option(name = "--run", description = "Id of the run of the target")
  private String run;

  @Option(name = "--config", description = "Version number of the configuration")
  private String config;

  @Arguments(
      description = "Log files of any number of nodes; without files, standard input is read")
  private List<String> files = new ArrayList<>();

  /** Creates the command. */
  public StoryCommand() {}

  @Override
  public int run() throws Exception {
    LogTimeline timeline = new LogTimeline(subject());
    if (files.isEmpty()) {
      readLog(timeline, STANDARD_INPUT, System.in);
    }
    for (String file : files) {
      try (InputStream in = Files.newInputStream(Path.of(file))) {
        readLog(timeline, Path.of(file).getFileName().toString(), in);
      } catch (NoSuchFileException e) {
        throw new Input.InvalidInputException(file + ": no such file");
      }
    }
    timeline.problems().forEach(System.err::println);
    List<LogLine> lines = timeline.lines();
    lines.forEach(line -> System.out.println(line.render()));
    if (lines.isEmpty()) {
      System.err.println("no log line concerns the request, target run or configuration version");
      return ExitCode.FAILED;
    }
    return ExitCode.OK;
  }

  private LogFilter subject() throws Input.InvalidInputException {
    List<LogFilter> subjects = new ArrayList<>();
    if (request != null) {
      subjects.add(new LogFilter.Request(request));
    }
    if (run != null) {
      subjects.add(new LogFilter.Run(run));
    }
    if (config != null) {
      subjects.add(new LogFilter.Config(config));
    }
    if (subjects.size() != 1) {
      throw new Input.InvalidInputException(
          "expected exactly one of --request, --run and --config");
    }
    return subjects.getFirst();
  }

  private static void readLog(LogTimeline timeline, String fileName, InputStream in)
      throws IOException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    long lineNumber = 0;
    String line = reader.readLine();
    while (line != null) {
      lineNumber++;
      timeline.add(fileName, lineNumber, line);
      line = reader.readLine();
    }
  }
}
