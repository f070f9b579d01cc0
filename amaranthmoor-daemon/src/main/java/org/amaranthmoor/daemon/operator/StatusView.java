package org.amaranthmoor.daemon.operator;

import java.util.List;
import org.amaranthmoor.report.BurnReport;

/**
 * Status of the system from the view of one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param askedNode the node that collected the status
 * @param offset offset of the newest state in force at that node
 * @param logAvailable whether the platform's log is available to that node
 * @param notes verdicts of the newest notes, newest first
 * @param services services with their targets
 * @param nodes all nodes
 * @param burn burn rates of the objectives, from the counts of all nodes that replied
 */
public record StatusView(
    String askedNode,
    long offset,
    boolean logAvailable,
    List<NoteStatus> notes,
    List<ServiceStatus> services,
    List<NodeStatus> nodes,
    BurnReport burn) {

  /** Copies the lists. */
  public StatusView {
    notes = List.copyOf(notes);
    services = List.copyOf(services);
    nodes = List.copyOf(nodes);
  }

  /**
   * Status of a note.
   *
   * @param note the note
   * @param offset its log offset
   * @param verdict accepted or refused
   * @param reasons why it was refused
   * @param inForce nodes at which it is in force, if accepted
   * @param lagging reachable nodes that have not reached its offset or did not reply
   */
  public record NoteStatus(
      String note,
      long offset,
      String verdict,
      List<String> reasons,
      int inForce,
      List<String> lagging) {}

  /**
   * Status of a service.
   *
   * @param service the service
   * @param revision the note that last changed it
   * @param targets its targets
   */
  public record ServiceStatus(String service, String revision, List<TargetStatus> targets) {}

  /**
   * Status of a target.
   *
   * @param target the target
   * @param revision the note that last changed it
   * @param node its node, empty if it has not announced itself
   * @param zone its availability zone
   * @param state serving, draining, unreachable, announced (its node is not a known member) or not
   *     announced
   */
  public record TargetStatus(
      String target, String revision, String node, String zone, String state) {}

  /**
   * Status of a node.
   *
   * @param node the node
   * @param incarnation the incarnation of its process
   * @param zone its availability zone
   * @param offset offset of its state, -1 if it did not reply
   * @param digest digest of its state, empty if it did not reply
   * @param state alive, suspect, dead or left
   * @param inFlight requests at its target
   * @param queued requests waiting for its target
   */
  public record NodeStatus(
      String node,
      String incarnation,
      String zone,
      long offset,
      String digest,
      String state,
      int inFlight,
      int queued) {}

  /**
   * Renders the status as text.
   *
   * @return the text
   */
  public String render() {
    StringBuilder text = new StringBuilder();
    text.append("asked ").append(askedNode).append(", offset ").append(offset);
    text.append(logAvailable ? ", platform's log answers\n" : ", PLATFORM'S LOG DOES NOT ANSWER\n");
    text.append("\nnotes\n");
    notes.forEach(note -> renderNote(text, note));
    text.append("\nservices\n");
    services.forEach(service -> renderService(text, service));
    text.append("\nnodes\n");
    nodes.forEach(node -> renderNode(text, node));
    return text.toString();
  }

  private static void renderNote(StringBuilder text, NoteStatus note) {
    text.append("  ").append(note.note()).append(" at offset ").append(note.offset());
    text.append(": ").append(note.verdict());
    if (note.verdict().equals("accepted")) {
      text.append(", in force at ").append(note.inForce()).append(" nodes");
    }
    if (!note.lagging().isEmpty()) {
      text.append(", lagging: ").append(String.join(", ", note.lagging()));
    }
    text.append('\n');
    note.reasons().forEach(reason -> text.append("    ").append(reason).append('\n'));
  }

  private static void renderService(StringBuilder text, ServiceStatus service) {
    text.append("  ").append(service.service());
    text.append(" (revision ").append(service.revision()).append(")\n");
    for (TargetStatus target : service.targets()) {
      text.append("    ").append(target.target()).append(": ").append(target.state());
      if (!target.node().isEmpty()) {
        text.append(" at ").append(target.node()).append(" in ").append(target.zone());
      }
      text.append(" (revision ").append(target.revision()).append(")\n");
    }
  }

  private static void renderNode(StringBuilder text, NodeStatus node) {
    text.append("  ").append(node.node()).append(" in ").append(node.zone());
    text.append(": ").append(node.state());
    if (node.offset() >= 0) {
      text.append(", offset ").append(node.offset());
      text.append(", ").append(node.inFlight()).append(" in flight, ");
      text.append(node.queued()).append(" queued");
    } else {
      text.append(", did not answer");
    }
    text.append('\n');
  }
}
