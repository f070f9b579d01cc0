package org.amaranthmoor.cli;

/**
 * A command of the command line.
 *
 * <p>Confined to one thread.
 */
interface Command {

  /**
   * Runs the command.
   *
   * @return the exit code of the process
   * @throws Exception if the command fails; {@link Main} prints the message and exits with {@link
   *     ExitCode#INVALID_INPUT} for invalid input and {@link ExitCode#FAILED} otherwise
   */
  int run() throws Exception;
}
