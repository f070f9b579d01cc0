package org.amaranthmoor.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.amaranthmoor.daemon.http.HttpListener;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.platform.PlatformLog;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a record that is cut short and read as a shorter one. */
class HttpPlatformLogTests {

  private static final byte[] RECORD = {1, 2, 3, 4};
  private static final int WHOLE_LENGTH = 16;

  private static PlatformLog.ReadResult read(byte[] body) throws IOException {
    InetAddress host = InetAddress.getLoopbackAddress();
    try (HttpListener listener =
        new HttpListener(
            new InetSocketAddress(host, 0),
            (request, trigger, context) -> {
              ClassicHttpResponse response = new BasicClassicHttpResponse(200);
              response.setHeader("Log-Start", "0");
              response.setHeader("Log-End", "1");
              response.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_OCTET_STREAM));
              trigger.submitResponse(response);
            })) {
      return new HttpPlatformLog(new Endpoint("127.0.0.1", listener.port())).read("s", 0, 1, 0);
    }
  }

  private static byte[] wholeRecord() {
    return ByteBuffer.allocate(WHOLE_LENGTH).putLong(0).putInt(RECORD.length).put(RECORD).array();
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 9, 12, 13, 15})
  void aRecordThatIsCutShortIsAFailedRead(int length) throws IOException {
    assertInstanceOf(
        PlatformLog.ReadResult.Unavailable.class, read(Arrays.copyOf(wholeRecord(), length)));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, WHOLE_LENGTH})
  void wholeRecordsAreRead(int length) throws IOException {
    PlatformLog.ReadResult.Records records =
        assertInstanceOf(
            PlatformLog.ReadResult.Records.class, read(Arrays.copyOf(wholeRecord(), length)));

    assertEquals(length == 0 ? 0 : 1, records.entries().size());
  }
}
