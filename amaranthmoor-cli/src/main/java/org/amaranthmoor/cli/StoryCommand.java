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
import org.amaranthmoor.report.LogLine;
import org.amaranthmoor.report.LogStory;
import org.amaranthmoor.report.LogSubject;

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
    LogStory story = new LogStory(subject());
    if (files.isEmpty()) {
      readLog(story, STANDARD_INPUT, System.in);
    }
    for (String file : files) {
      try (InputStream in = Files.newInputStream(Path.of(file))) {
        readLog(story, Path.of(file).getFileName().toString(), in);
      } catch (NoSuchFileException e) {
        throw new Input.InvalidInputException(file + ": no such file");
      }
    }
    story.problems().forEach(System.err::println);
    List<LogLine> lines = story.lines();
    lines.forEach(line -> System.out.println(line.render()));
    if (lines.isEmpty()) {
      System.err.println("no line tells of it");
      return ExitCode.FAILED;
    }
    return ExitCode.OK;
  }

  private LogSubject subject() throws Input.InvalidInputException {
    List<LogSubject> subjects = new ArrayList<>();
    if (request != null) {
      subjects.add(new LogSubject.Request(request));
    }
    if (run != null) {
      subjects.add(new LogSubject.Run(run));
    }
    if (config != null) {
      subjects.add(new LogSubject.Config(config));
    }
    if (subjects.size() != 1) {
      throw new Input.InvalidInputException("give one of --request, --run and --config");
    }
    return subjects.getFirst();
  }

  private static void readLog(LogStory story, String fileName, InputStream in) throws IOException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    long lineNumber = 0;
    String line = reader.readLine();
    while (line != null) {
      lineNumber++;
      story.read(fileName, lineNumber, line);
      line = reader.readLine();
    }
  }
}
