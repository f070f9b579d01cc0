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

/** Reads what commands are given, and says what is wrong with it. */
final class Input {

  private Input() {}

  /** Thrown if an argument or a file cannot be used. */
  static final class BadInputException extends Exception {
    private static final long serialVersionUID = 1L;

    BadInputException(String message) {
      super(message);
    }
  }

  static String readFile(String file) throws BadInputException {
    try {
      return Files.readString(Path.of(file));
    } catch (NoSuchFileException e) {
      throw new BadInputException(file + ": no such file");
    } catch (MalformedInputException e) {
      throw new BadInputException(file + ": not valid UTF-8");
    } catch (IOException e) {
      throw new BadInputException(file + ": cannot be read: " + e.getMessage());
    }
  }

  static Endpoint endpoint(String option, String text) throws BadInputException {
    Optional<Endpoint> endpoint = Endpoint.parse(text);
    if (endpoint.isEmpty()) {
      throw new BadInputException(
          option + ": expected an IP address with a port, but found: " + text);
    }
    return endpoint.get();
  }

  static void print(List<Problem> problems, String file) {
    problems.forEach(problem -> System.err.println(problem.render(file)));
  }
}
