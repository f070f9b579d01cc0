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

/** Tells from the logs of several nodes what became of a request, a target or a configuration. */
@com.github.rvesse.airline.annotations.Command(
    name = "story",
    description =
        "Shows all log lines of one request, target or configuration version, in order of time")
public final class StoryCommand implements Command {

  private static final String STANDARD_INPUT = "standard input";

  @Option(name = "--request", description = "Id of the request; its own calls are shown too")
  private String request;

  @Option(name = "--run", description = "Id of the target's run")
  private String run;

  @Option(name = "--config", description = "Number of the configuration's version")
  private String config;

  @Arguments(description = "Files with logs, of any number of nodes; none for standard input")
  private List<String> files = new ArrayList<>();

  /** Creates the command. */
  public StoryCommand() {}

  @Override
  public int run() throws Exception {
    LogTimeline timeline = new LogTimeline(subject());
    if (files.isEmpty()) {
      read(timeline, STANDARD_INPUT, System.in);
    }
    for (String file : files) {
      try (InputStream in = Files.newInputStream(Path.of(file))) {
        read(timeline, Path.of(file).getFileName().toString(), in);
      } catch (NoSuchFileException e) {
        throw new Input.BadInputException(file + ": no such file");
      }
    }
    timeline.problems().forEach(System.err::println);
    List<LogLine> lines = timeline.lines();
    lines.forEach(line -> System.out.println(line.render()));
    if (lines.isEmpty()) {
      System.err.println("no line tells of it");
      return ExitCode.FAILED;
    }
    return ExitCode.OK;
  }

  private LogFilter subject() throws Input.BadInputException {
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
      throw new Input.BadInputException("give one of --request, --run and --config");
    }
    return subjects.getFirst();
  }

  private static void read(LogTimeline timeline, String name, InputStream in) throws IOException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    long number = 0;
    String line = reader.readLine();
    while (line != null) {
      number++;
      timeline.add(name, number, line);
      line = reader.readLine();
    }
  }
}
