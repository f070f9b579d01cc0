package org.amaranthmoor.daemon.mesh;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CompressedDocumentTests {

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 8_191, 8_192, 300_000})
  void decompressionRestoresTheDocument(int length) {
    byte[] document = new byte[length];
    new Random(length).nextBytes(document);

    assertArrayEquals(
        document,
        CompressedDocument.decompress(CompressedDocument.compress(document)).orElseThrow());
  }

  @Test
  void aDocumentWithManyRoutesShrinksToLessThanATenth() {
    byte[] document =
        "{\"type\":\"routes\",\"spec\":{}},".repeat(5_000).getBytes(StandardCharsets.UTF_8);

    assertTrue(CompressedDocument.compress(document).length < document.length / 10);
  }

  @Test
  void truncatedBytesAreRejectedAndRandomBytesDoNotThrow() {
    Random random = new Random(3);
    byte[] compressed =
        CompressedDocument.compress("{\"version\":\"r1\"}".getBytes(StandardCharsets.UTF_8));
    for (int cut = 0; cut < compressed.length - 4; cut++) {
      assertTrue(CompressedDocument.decompress(Arrays.copyOf(compressed, cut)).isEmpty());
    }
    for (int i = 0; i < 1_000; i++) {
      byte[] noise = new byte[random.nextInt(200)];
      random.nextBytes(noise);
      Optional<byte[]> document = CompressedDocument.decompress(noise);
      assertTrue(document.isEmpty() || document.get().length > 0);
    }
  }

  @Test
  void aDocumentAboveTheSizeLimitIsRejected() {
    byte[] compressed = CompressedDocument.compress(new byte[9 * 1024 * 1024]);

    assertTrue(CompressedDocument.decompress(compressed).isEmpty());
  }
}
