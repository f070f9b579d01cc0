package org.amaranthmoor.daemon.mesh;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses the document of a configuration for the transfer between nodes, because a designated
 * reader sends it to its whole availability zone at once.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CompressedDocument {

  /** Largest decompressed document, in bytes; bounds the memory that a peer can make a node use. */
  private static final int MAX_DOCUMENT_BYTES = 8 * 1024 * 1024;

  private static final int CHUNK_BYTES = 8 * 1024;

  private CompressedDocument() {}

  /** {@return the compressed form of a document} */
  static byte[] compress(byte[] document) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(document);
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream(CHUNK_BYTES);
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!deflater.finished()) {
        compressed.write(chunk, 0, deflater.deflate(chunk));
      }
      return compressed.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * {@return the decompressed document, or empty if the input is damaged or the result too large}
   */
  static Optional<byte[]> decompress(byte[] compressed) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed);
      ByteArrayOutputStream document = new ByteArrayOutputStream(CHUNK_BYTES);
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(chunk);
        boolean truncated = count == 0 && !inflater.finished();
        if (truncated || document.size() + count > MAX_DOCUMENT_BYTES) {
          return Optional.empty();
        }
        document.write(chunk, 0, count);
      }
      return Optional.of(document.toByteArray());
    } catch (DataFormatException e) {
      // The caller logs that the peer did not deliver the document.
      return Optional.empty();
    } finally {
      inflater.end();
    }
  }
}
