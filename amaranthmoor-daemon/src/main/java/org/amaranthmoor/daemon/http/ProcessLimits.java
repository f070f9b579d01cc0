package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;

/** Limits of this process. Stateless and safe for use by several threads. */
public final class ProcessLimits {

  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String DESCRIPTORS = "Max open files";

  private ProcessLimits() {}

  /** {@return the largest number of open file descriptors, empty if it is unknown or unlimited} */
  public static OptionalLong maxDescriptors() {
    try {
      return parse(Files.readString(LIMITS));
    } catch (IOException e) {
      // Other operating systems have no such file.
      return OptionalLong.empty();
    }
  }

  static OptionalLong parse(String limits) {
    return limits
        .lines()
        .filter(line -> line.startsWith(DESCRIPTORS))
        .map(line -> line.substring(DESCRIPTORS.length()).strip().split(" ", 2)[0])
        .filter(value -> value.matches("\\d{1,18}"))
        .mapToLong(Long::parseLong)
        .findFirst();
  }
}
