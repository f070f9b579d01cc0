package org.amaranthmoor.platform;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.protocol.platform.Evicted;
import org.amaranthmoor.protocol.platform.Joined;
import org.amaranthmoor.protocol.platform.Left;
import org.amaranthmoor.protocol.platform.LogRecord;
import org.amaranthmoor.protocol.platform.NotePublished;

/**
 * Creates log records whose ids are derived from their content, so that an append can be repeated
 * safely.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class LogRecords {

  private static final int DIGEST_CHARACTERS = 16;

  private LogRecords() {}

  /**
   * Creates the record that publishes a release note.
   *
   * @param id the id of the note
   * @param text the note's text
   * @return the record
   */
  public static LogRecord note(NoteId id, String text) {
    NotePublished body = NotePublished.newBuilder().setNoteId(id.value()).setText(text).build();
    String digest = hex(sha256(text.getBytes(StandardCharsets.UTF_8)));
    String recordId = "note/" + id + "/" + digest.substring(0, DIGEST_CHARACTERS);
    return record(recordId).setNote(body).build();
  }

  /**
   * Creates the record that announces a target.
   *
   * @param joined the announcement
   * @return the record
   */
  public static LogRecord joined(Joined joined) {
    String recordId = "joined/" + joined.getNode() + "/" + joined.getIncarnation();
    return record(recordId).setJoined(joined).build();
  }

  /**
   * Creates the record of a node that leaves as planned.
   *
   * @param node the node
   * @param incarnation the incarnation that leaves
   * @return the record
   */
  public static LogRecord left(NodeName node, Incarnation incarnation) {
    Left body = Left.newBuilder().setNode(node.value()).setIncarnation(incarnation.value()).build();
    return record("left/" + node + "/" + incarnation).setLeft(body).build();
  }

  /**
   * Creates the record that evicts a failed node.
   *
   * @param node the node
   * @param incarnation the incarnation that failed
   * @param by the node that detected the failure
   * @return the record
   */
  public static LogRecord evicted(NodeName node, Incarnation incarnation, NodeName by) {
    Evicted body =
        Evicted.newBuilder()
            .setNode(node.value())
            .setIncarnation(incarnation.value())
            .setBy(by.value())
            .build();
    return record("evicted/" + node + "/" + incarnation).setEvicted(body).build();
  }

  /** {@return the SHA-256 digest of the bytes} */
  static byte[] sha256(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is missing, which every Java platform must provide", e);
    }
  }

  /** {@return bytes as lower-case hexadecimal digits} */
  static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static LogRecord.Builder record(String recordId) {
    return LogRecord.newBuilder()
        .setFormat(ClusterStateMachine.RECORD_FORMAT)
        .setRecordId(recordId);
  }
}
