package org.amaranthmoor.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.TimeSource;
import org.junit.jupiter.api.Test;

// A full heap ended accept threads, and the process lived on without ever serving again.
class ProcessSupervisorTests {

  private final Throwable failure = new OutOfMemoryError("test");

  private final List<Integer> exits = new ArrayList<>();
  private final List<Throwable> heard = new ArrayList<>();
  private final ProcessSupervisor supervisor = supervisor(() -> {});

  private ProcessSupervisor supervisor(Runnable flushLog) {
    EventLog log = new EventLog(System.getLogger("test"), TimeSource.system());
    return new ProcessSupervisor(log, flushLog, exits::add);
  }

  private static Thread thread(String name) {
    return Thread.ofPlatform().name(name).unstarted(() -> {});
  }

  @Test
  void theEndOfAnAcceptThreadEndsTheProcess() {
    supervisor.uncaughtException(thread("http-accept-8808"), failure);

    assertEquals(List.of(ProcessSupervisor.FAILED_STATUS), exits);
  }

  @Test
  void theEndOfTheMainThreadEndsTheProcess() {
    supervisor.uncaughtException(thread("main"), failure);

    assertEquals(List.of(ProcessSupervisor.FAILED_STATUS), exits);
  }

  @Test
  void theEndOfAThreadOfOneRequestIsCountedAndEndsNothing() {
    supervisor.uncaughtException(Thread.ofVirtual().unstarted(() -> {}), failure);

    assertEquals(1, supervisor.threadFailures());
    assertEquals(List.of(), exits);
  }

  @Test
  void aFailureIsPassedToTheListener() {
    supervisor.setListener(heard::add);

    supervisor.uncaughtException(thread("worker"), failure);

    assertEquals(List.of(failure), heard);
  }

  @Test
  void aListenerThatFailsKeepsTheProcessFromNothing() {
    supervisor.setListener(
        error -> {
          throw new OutOfMemoryError("of the listener");
        });

    supervisor.uncaughtException(thread("main"), failure);

    assertEquals(1, supervisor.threadFailures());
    assertEquals(List.of(ProcessSupervisor.FAILED_STATUS), exits);
  }

  @Test
  void aLogThatCannotBeWrittenDoesNotKeepTheProcessAlive() {
    ProcessSupervisor withoutLog =
        supervisor(
            () -> {
              throw new OutOfMemoryError("of the log");
            });

    withoutLog.end("test");

    assertEquals(List.of(ProcessSupervisor.FAILED_STATUS), exits);
  }

  @Test
  void aFailedNodeEndsTheProcessAndACheckThatFailsDoesNot() {
    supervisor.endIfFailed(
        () -> {
          throw new OutOfMemoryError("of the check");
        });
    supervisor.endIfFailed(Optional::empty);
    assertTrue(exits.isEmpty());

    supervisor.endIfFailed(() -> Optional.of("event loop"));

    assertEquals(List.of(ProcessSupervisor.FAILED_STATUS), exits);
  }

  // A full heap kept all threads of requests from running, while the process seemed sound.
  @Test
  void aProcessThatCanRunNoThreadForManyChecksEnds() {
    for (int i = 0; i < ProcessSupervisor.MAX_CHECKS_WITHOUT_PROGRESS; i++) {
      supervisor.endWithoutProgress(ProcessSupervisorTests::failToStart);
    }
    assertEquals(List.of(), exits);

    supervisor.endWithoutProgress(ProcessSupervisorTests::failToStart);

    assertEquals(List.of(ProcessSupervisor.FAILED_STATUS), exits);
  }

  @Test
  void aThreadThatRunsOnceInAWhileKeepsTheProcessAlive() {
    for (int i = 0; i < 10 * ProcessSupervisor.MAX_CHECKS_WITHOUT_PROGRESS; i++) {
      boolean runs = i % ProcessSupervisor.MAX_CHECKS_WITHOUT_PROGRESS == 0;
      supervisor.endWithoutProgress(runs ? Runnable::run : ProcessSupervisorTests::failToStart);
    }

    assertEquals(List.of(), exits);
  }

  private static void failToStart(Runnable task) {
    throw new OutOfMemoryError("test");
  }
}
