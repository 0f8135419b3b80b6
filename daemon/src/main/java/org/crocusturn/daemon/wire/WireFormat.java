package org.crocusturn.daemon.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;

/**
 * Version and checks of the wire format; reports malformed bytes as {@link CrocusturnException}.
 */
final class WireFormat {
    /**
     * Version of all messages and stored records; must be increased if older readers would
     * misinterpret the new format.
     */
    static final int VERSION = 1;

    private WireFormat() {}

    /**
     * Decodes bytes; a failed check of a decoded record, or nesting beyond the stack, also makes
     * them malformed. A decoder must not change any state, because its failures end no process.
     */
    static <T> T decode(String description, Decoder<T> decoder) {
        try {
            return decoder.decode();
        } catch (InvalidProtocolBufferException | RuntimeException | StackOverflowError e) {
            throw CrocusturnException.causedBy(
                    Failure.notRun(
                            ErrorCode.MALFORMED_REQUEST,
                            description + " is malformed: " + e.getMessage()),
                    e);
        }
    }

    static void requireVersion(int version) {
        if (version != VERSION) {
            throw malformed("version " + version + " is unknown, expected " + VERSION);
        }
    }

    static void requireField(boolean present, String field) {
        if (!present) {
            throw malformed("field " + field + " is missing");
        }
    }

    static CrocusturnException malformed(String message) {
        return CrocusturnException.notRun(ErrorCode.MALFORMED_REQUEST, message);
    }

    /** Decodes one value. */
    interface Decoder<T> {
        T decode() throws InvalidProtocolBufferException;
    }
}
