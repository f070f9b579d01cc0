package org.amaranthmoor.cli;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.yaml.Problem;

/** Reads arguments and input files of commands, and reports errors in them. */
final class Input {

  private Input() {}

  /** Thrown if an argument or a file cannot be used. */
  static final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String message) {
      super(message);
    }
  }

  static String readFile(String file) throws InvalidInputException {
    try {
      return Files.readString(Path.of(file));
    } catch (NoSuchFileException e) {
      throw new InvalidInputException(file + ": no such file");
    } catch (MalformedInputException e) {
      throw new InvalidInputException(file + ": not valid UTF-8");
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read: " + e.getMessage());
    }
  }

  static Endpoint parseEndpoint(String option, String text) throws InvalidInputException {
    Optional<Endpoint> endpoint = Endpoint.parse(text);
    if (endpoint.isEmpty()) {
      throw new InvalidInputException(
          option + ": expected an IP address with a port, but found: " + text);
    }
    return endpoint.get();
  }

  static void printProblems(List<Problem> problems, String file) {
    problems.forEach(problem -> System.err.println(problem.render(file)));
  }
}
