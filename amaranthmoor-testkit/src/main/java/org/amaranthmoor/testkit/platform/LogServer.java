package org.amaranthmoor.testkit.platform;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.amaranthmoor.daemon.http.HttpListener;
import org.amaranthmoor.platform.PlatformLog;
import org.amaranthmoor.platform.PlatformLog.AppendResult;
import org.amaranthmoor.platform.PlatformLog.Entry;
import org.amaranthmoor.platform.PlatformLog.ReadResult;
import org.amaranthmoor.testkit.http.QueryParameters;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Serves an in-memory log over HTTP, as a stand-in for the platform.
 *
 * <p>{@code POST /faults?down=true&lose-answers=1&slow-millis=50} injects faults. Safe for use by
 * several threads.
 */
public final class LogServer implements HttpServerRequestHandler, AutoCloseable {

  private static final Pattern RECORDS_PATH = Pattern.compile("/streams/([A-Za-z0-9._-]+)/records");
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final InMemoryLog log;
  private final HttpListener listener;
  private volatile long responseDelayMillis;

  /**
   * Starts the server.
   *
   * @param address the address to listen on
   * @param log the log
   * @throws IOException if the port cannot be opened
   */
  public LogServer(InetSocketAddress address, InMemoryLog log) throws IOException {
    this.log = log;
    this.listener = new HttpListener(address, this);
  }

  /** {@return the port that the server listens on} */
  public int port() {
    return listener.port();
  }

  @Override
  public void close() {
    listener.close();
  }

  @Override
  public void handle(ClassicHttpRequest request, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    URI uri = URI.create(request.getRequestUri());
    QueryParameters query = QueryParameters.parse(uri.getRawQuery());
    Matcher path = RECORDS_PATH.matcher(uri.getPath());
    delayResponse();
    if (path.matches() && request.getMethod().equals("POST")) {
      trigger.submitResponse(append(path.group(1), request));
    } else if (path.matches()) {
      trigger.submitResponse(read(path.group(1), query));
    } else if (uri.getPath().equals("/faults")) {
      trigger.submitResponse(setFaults(query));
    } else {
      trigger.submitResponse(text(NOT_FOUND, "not found"));
    }
  }

  private void delayResponse() {
    try {
      Thread.sleep(responseDelayMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ClassicHttpResponse append(String stream, ClassicHttpRequest request) throws IOException {
    byte[] bytes = EntityUtils.toByteArray(request.getEntity());
    return switch (log.append(stream, bytes)) {
      case AppendResult.Appended appended -> text(OK, Long.toString(appended.offset()));
      case AppendResult.Rejected rejected -> text(TOO_MANY_REQUESTS, rejected.detail());
      case AppendResult.Unknown unknown -> text(INTERNAL_SERVER_ERROR, unknown.detail());
    };
  }

  private ClassicHttpResponse read(String stream, QueryParameters query) throws IOException {
    long from = query.number("from");
    int maxRecords = (int) query.number("max");
    return switch (log.read(stream, from, maxRecords, query.number("wait"))) {
      case ReadResult.Records records -> {
        ClassicHttpResponse response = responseWithBounds(OK, records.start(), records.end());
        response.setEntity(
            new ByteArrayEntity(encode(records.entries()), ContentType.APPLICATION_OCTET_STREAM));
        yield response;
      }
      case ReadResult.Expired expired -> responseWithBounds(GONE, expired.start(), expired.end());
      case ReadResult.Unavailable unavailable -> text(SERVICE_UNAVAILABLE, unavailable.detail());
    };
  }

  private static byte[] encode(List<PlatformLog.Entry> entries) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    for (Entry entry : entries) {
      out.writeLong(entry.offset());
      out.writeInt(entry.bytes().length);
      out.write(entry.bytes());
    }
    return bytes.toByteArray();
  }

  private static ClassicHttpResponse responseWithBounds(int status, long start, long end) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(status);
    response.setHeader("Log-Start", Long.toString(start));
    response.setHeader("Log-End", Long.toString(end));
    return response;
  }

  private ClassicHttpResponse setFaults(QueryParameters query) {
    if (query.has("down")) {
      log.setDown(query.flag("down"));
    }
    if (query.has("lose-answers")) {
      log.loseResponses((int) query.number("lose-answers"));
    }
    if (query.has("slow-millis")) {
      responseDelayMillis = query.number("slow-millis");
    }
    return text(OK, "ok");
  }

  private static ClassicHttpResponse text(int status, String text) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(status);
    response.setEntity(new StringEntity(text + "\n", ContentType.TEXT_PLAIN));
    return response;
  }
}
