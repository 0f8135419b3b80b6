package org.crocusturn.daemon.wire;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses large, repetitive texts, such as configurations with many routes. */
final class Compression {
    /**
     * Limit of the decompressed size, because a small corrupt message can expand to a huge text.
     */
    private static final int MAX_BYTES = 16 << 20;

    private Compression() {}

    /** Compresses a text; the result for an empty text is empty. */
    static ByteString compress(String text) {
        if (text.isEmpty()) {
            return ByteString.EMPTY;
        }
        ByteString.Output bytes = ByteString.newOutput();
        try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteString();
    }

    /** Decompresses a text. */
    static String decompress(ByteString bytes) {
        if (bytes.isEmpty()) {
            return "";
        }
        try (InputStream in = new GZIPInputStream(new ByteArrayInputStream(bytes.toByteArray()))) {
            byte[] text = in.readNBytes(MAX_BYTES + 1);
            if (text.length > MAX_BYTES) {
                throw WireFormat.malformed(
                        "a decompressed text has more than " + MAX_BYTES + " bytes");
            }
            return new String(text, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw WireFormat.malformed("a text cannot be decompressed: " + e.getMessage());
        }
    }
}
