package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with milliseconds since the start. */
final class Journal {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Journal(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void write(String line) {
    out.printf("%6d %s%n", millis(), line);
    out.flush();
  }
}
