package org.amaranthmoor.daemon.platform;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.daemon.http.ControlClient;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.platform.PlatformLog;

/**
 * The platform's log over HTTP.
 *
 * <p>{@code POST /streams/NAME/records} appends the body and responds with the offset. {@code GET
 * /streams/NAME/records?from=N&max=M&wait=MS} responds with records, each as eight bytes of offset,
 * four bytes of length and the bytes, and with the headers Log-Start and Log-End; the status is 410
 * if the log has deleted the records after its retention time. Safe for use by several threads.
 */
public final class HttpPlatformLog implements PlatformLog {

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int MIN_SERVER_ERROR = 500;
  private static final int MAX_RECORD_BYTES = 64 << 20;

  private final ControlClient client;

  /**
   * Creates a client of the log.
   *
   * @param endpoint address of the log service
   */
  public HttpPlatformLog(Endpoint endpoint) {
    this.client = new ControlClient(endpoint, TIMEOUT_MILLIS);
  }

  @Override
  public ReadResult read(String stream, long from, int maxRecords, long waitMillis) {
    String path =
        "/streams/"
            + stream
            + "/records?from="
            + from
            + "&max="
            + maxRecords
            + "&wait="
            + waitMillis;
    try {
      return toReadResult(client.get(path));
    } catch (IOException e) {
      return new ReadResult.Unavailable(String.valueOf(e.getMessage()));
    }
  }

  private static ReadResult toReadResult(ControlClient.Reply reply) throws IOException {
    Optional<Long> start = reply.longHeader("Log-Start");
    Optional<Long> end = reply.longHeader("Log-End");
    if (start.isEmpty() || end.isEmpty()) {
      return new ReadResult.Unavailable("status " + reply.status());
    }
    return switch (reply.status()) {
      case OK -> new ReadResult.Records(entries(reply.body()), start.get(), end.get());
      case GONE -> new ReadResult.Expired(start.get(), end.get());
      default -> new ReadResult.Unavailable("status " + reply.status());
    };
  }

  private static List<Entry> entries(byte[] body) throws IOException {
    List<Entry> entries = new ArrayList<>();
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
    while (in.available() > 0) {
      long offset = in.readLong();
      int length = in.readInt();
      if (length < 0 || length > MAX_RECORD_BYTES) {
        throw new IOException(
            "invalid record of the platform's log at offset "
                + offset
                + ": length must be from 0 to "
                + MAX_RECORD_BYTES
                + ", but is "
                + length);
      }
      byte[] record = new byte[length];
      in.readFully(record);
      entries.add(new Entry(offset, record));
    }
    return entries;
  }

  @Override
  public AppendResult append(String stream, byte[] bytes) {
    try {
      ControlClient.Reply reply = client.post("/streams/" + stream + "/records", bytes);
      if (reply.status() == OK) {
        return new AppendResult.Appended(Long.parseLong(reply.text().trim()));
      }
      String detail = "status " + reply.status();
      return reply.status() >= MIN_SERVER_ERROR
          ? new AppendResult.Unknown(detail)
          : new AppendResult.Rejected(detail);
    } catch (ControlClient.NotConnectedException e) {
      return new AppendResult.Rejected(e.getMessage());
    } catch (IOException | NumberFormatException e) {
      return new AppendResult.Unknown(String.valueOf(e.getMessage()));
    }
  }
}
