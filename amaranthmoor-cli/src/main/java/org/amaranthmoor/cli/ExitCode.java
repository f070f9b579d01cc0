package org.amaranthmoor.cli;

/** Exit codes of all commands, listed in docs/USER-GUIDE.md. */
final class ExitCode {

  static final int OK = 0;
  static final int FAILED = 1;
  static final int USAGE = 2;
  static final int INVALID_INPUT = 3;
  static final int REFUSED = 4;
  static final int UNKNOWN = 5;

  private ExitCode() {}
}
