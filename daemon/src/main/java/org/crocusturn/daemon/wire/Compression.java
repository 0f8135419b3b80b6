package org.crocusturn.daemon.wire;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses texts that are large and repetitive, such as configurations of many routes. */
final class Compression {
    /** Bounds what a damaged message can make of a few bytes. */
    private static final int MAX_BYTES = 16 << 20;

    private Compression() {}

    /** Returns the compressed text; nothing for an empty one. */
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

    /** Returns the text; a damaged one is malformed. */
    static String decompress(ByteString bytes) {
        if (bytes.isEmpty()) {
            return "";
        }
        try (InputStream in = new GZIPInputStream(new ByteArrayInputStream(bytes.toByteArray()))) {
            byte[] text = in.readNBytes(MAX_BYTES + 1);
            if (text.length > MAX_BYTES) {
                throw WireFormat.malformed("a text has more than " + MAX_BYTES + " bytes");
            }
            return new String(text, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw WireFormat.malformed("a text cannot be decompressed: " + e.getMessage());
        }
    }
}
