package org.amaranthmoor.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.daemon.operator.StatusView;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.report.BurnReport;
import org.amaranthmoor.report.CallCounts;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OutputTests {

  @TempDir private Path folder;

  private static void verify(String text) {
    Approvals.verify(text, new Options().withReporter(QuietReporter.INSTANCE));
  }

  private String run(String... arguments) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream originalOut = System.out;
    PrintStream originalErr = System.err;
    int exitCode;
    try (PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8)) {
      System.setOut(out);
      System.setErr(out);
      exitCode = Main.run(arguments);
    } finally {
      System.setOut(originalOut);
      System.setErr(originalErr);
    }
    String output = bytes.toString(StandardCharsets.UTF_8).replace(folder + "/", "");
    return output + "exit code " + exitCode + "\n";
  }

  private String file(String name, String... lines) throws IOException {
    Path file = folder.resolve(name);
    Files.writeString(file, String.join("\n", lines) + "\n");
    return file.toString();
  }

  @Test
  void helpListsTheCommands() {
    verify(run("help"));
  }

  @Test
  void anUnknownOptionIsRefused() {
    verify(run("status", "--nodes", "127.0.0.1:1"));
  }

  @Test
  void everyErrorInSettingsIsReportedWithItsLine() throws IOException {
    verify(
        run(
            "check-settings",
            file(
                "node.yaml",
                "node: bad name!",
                "zonee: kochi",
                "region: kerala",
                "host: localhost",
                "caller-port: 80000",
                "node-port: 7001",
                "admin-port: 7001",
                "platform: 127.0.0.1",
                "peers: [127.0.0.1:7000, here]",
                "target:",
                "  name: lending-1",
                "  address: 127.0.0.1:9000",
                "  slots: many")));
  }

  @Test
  void validSettingsAreReportedAsValid() throws IOException {
    verify(
        run(
            "check-settings",
            file(
                "node.yaml",
                "node: n1",
                "zone: kochi",
                "region: kerala",
                "host: 127.0.0.1",
                "caller-port: 7000",
                "node-port: 7001",
                "admin-port: 7002",
                "platform: 127.0.0.1:8000",
                "target:",
                "  name: lending-1",
                "  address: 127.0.0.1:9000")));
  }

  @Test
  void everyErrorInANoteIsReportedWithItsLine() throws IOException {
    verify(
        run(
            "check",
            file(
                "note.yaml",
                "format: 1",
                "note: n",
                "services:",
                "  - add: lending",
                "    availability: 2",
                "    wiegh: cost",
                "rules:",
                "  - add: r",
                "    service: lending",
                "    path-prefix: lending",
                "    calls:",
                "      - methods: [FETCH]",
                "        priority: urgent")));
  }

  @Test
  void aMissingFileIsReportedByName() {
    verify(run("check", folder + "/none.yaml"));
  }

  @Test
  void statusShowsNotesServicesAndNodes() {
    StatusView view =
        new StatusView(
            "n1",
            7,
            false,
            List.of(
                new StatusView.NoteStatus(
                    "b",
                    6,
                    "refused",
                    List.of(
                        "line 4: service lending: builds on note open, but note a changed it first (604 CONFLICT)"),
                    2,
                    List.of()),
                new StatusView.NoteStatus("a", 5, "accepted", List.of(), 1, List.of("n2"))),
            List.of(
                new StatusView.ServiceStatus(
                    "lending",
                    "a",
                    List.of(
                        new StatusView.TargetStatus("lending-1", "open", "n1", "kochi", "serving"),
                        new StatusView.TargetStatus(
                            "lending-2", "open", "", "", "not announced")))),
            List.of(
                new StatusView.NodeStatus("n1", "1", "kochi", 7, "abc", "alive", 3, 1),
                new StatusView.NodeStatus("n2", "1", "kollam", -1, "", "suspect", 0, 0)),
            new BurnReport(List.of()));

    verify(view.render());
  }

  @Test
  void burnShowsEachWindow() {
    ServiceSpec spec =
        new ServiceSpec(
            new ServiceName("lending"),
            new NoteId("open"),
            0.999,
            250,
            0.99,
            10_000,
            ServiceSpec.Weighting.COST,
            5,
            0.1);
    List<CallCounts.Window> windows =
        List.of(
            new CallCounts.Window(5, 1_000, 5, 20),
            new CallCounts.Window(30, 10_000, 5, 20),
            new CallCounts.Window(60, 0, 0, 0));

    verify(new BurnReport(List.of(BurnReport.of(spec, windows))).render());
  }

  // Logs of several nodes, recorded in one run of a simulated environment. Each line is preceded by
  // the
  // seconds since the start of the run and the name of the machine.
  private static String recordedRun() throws URISyntaxException {
    return Path.of(OutputTests.class.getResource("/recorded-run.log").toURI()).toString();
  }

  @Test
  void theStoryOfARequestRejectedUnderLoadShowsTheOverloadedTargets() throws URISyntaxException {
    verify(run("report", "story", "--request", "0a29cbb2d20d28ed", recordedRun()));
  }

  @Test
  void theStoryOfALostResponseShowsTheTargetThatBrokeOff() throws URISyntaxException {
    verify(run("report", "story", "--request", "334bae1d505af9b2", recordedRun()));
  }

  @Test
  void theStoryOfARequestToALeavingTargetShowsEachRefusal() throws URISyntaxException {
    verify(run("report", "story", "--request", "5d4c2405a64ac88a", recordedRun()));
  }

  @Test
  void theStoryOfATargetShowsItsReportsAndItsLeave() throws URISyntaxException {
    verify(run("report", "story", "--run", "i-d5b14f4245", recordedRun()));
  }

  @Test
  void aStoryWithoutLinesFailsAndUnreadableLinesAreReported() throws IOException {
    verify(run("report", "story", "--request", "none", file("n1.log", "[0.1s][error] text")));
  }

  @Test
  void aStoryRequiresExactlyOneSubject() throws IOException {
    verify(run("report", "story", "--request", "a", "--config", "1", file("n1.log")));
  }
}
