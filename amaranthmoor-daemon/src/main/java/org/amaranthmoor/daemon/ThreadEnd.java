package org.amaranthmoor.daemon;

/** What follows from the end of a thread by a failure that nothing has handled. */
enum ThreadEnd {
  /** The thread ran a single task, or is replaced; the node continues to serve. */
  ONE_TASK_FAILED,

  /** The node cannot serve without the thread, so its process ends. */
  NODE_FAILED;

  private static final String MAIN_THREAD = "main";
  private static final String ACCEPT_THREAD_PREFIX = "http-accept-";

  /**
   * Decides what follows from the end of a thread.
   *
   * <p>Without its main thread a node has not been started or is not supervised, and without an
   * accept thread it leaves its callers or its target waiting for ever at an open port. The threads
   * of pools are replaced, and what the followers of the configuration have read stays in force.
   *
   * @param threadName the name of the thread
   * @return what follows
   */
  static ThreadEnd of(String threadName) {
    boolean required =
        threadName.equals(MAIN_THREAD) || threadName.startsWith(ACCEPT_THREAD_PREFIX);
    return required ? NODE_FAILED : ONE_TASK_FAILED;
  }
}
