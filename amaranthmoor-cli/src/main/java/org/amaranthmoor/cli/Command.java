package org.amaranthmoor.cli;

/**
 * One command of the command line.
 *
 * <p>Created and run by one thread.
 */
interface Command {

  /**
   * Runs the command.
   *
   * @return the exit code of the process
   * @throws Exception if the command fails in a way it does not explain itself
   */
  int run() throws Exception;
}
