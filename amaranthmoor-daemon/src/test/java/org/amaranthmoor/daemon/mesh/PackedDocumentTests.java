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

class PackedDocumentTests {

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 8_191, 8_192, 300_000})
  void aDocumentComesBackAsItWas(int length) {
    byte[] document = new byte[length];
    new Random(length).nextBytes(document);

    assertArrayEquals(document, PackedDocument.unpack(PackedDocument.pack(document)).orElseThrow());
  }

  @Test
  void aDocumentWithManyRoutesBecomesSmall() {
    byte[] document =
        "{\"type\":\"routes\",\"spec\":{}},".repeat(5_000).getBytes(StandardCharsets.UTF_8);

    assertTrue(PackedDocument.pack(document).length < document.length / 10);
  }

  @Test
  void damagedBytesAreNoDocument() {
    Random random = new Random(3);
    byte[] packed = PackedDocument.pack("{\"version\":\"r1\"}".getBytes(StandardCharsets.UTF_8));
    for (int cut = 0; cut < packed.length - 4; cut++) {
      assertTrue(PackedDocument.unpack(Arrays.copyOf(packed, cut)).isEmpty());
    }
    for (int i = 0; i < 1_000; i++) {
      byte[] noise = new byte[random.nextInt(200)];
      random.nextBytes(noise);
      Optional<byte[]> document = PackedDocument.unpack(noise);
      assertTrue(document.isEmpty() || document.get().length > 0);
    }
  }

  @Test
  void aDocumentBeyondAllBoundsIsNotUnpacked() {
    byte[] packed = PackedDocument.pack(new byte[9 * 1024 * 1024]);

    assertTrue(PackedDocument.unpack(packed).isEmpty());
  }
}
