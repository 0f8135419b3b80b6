package org.crocusturn.core.endpoints;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.crocusturn.core.Sha256;

/**
 * The answers that a connection to an endpoint has delivered. Immutable.
 *
 * <p>A signed answer is identified by its signature, any other one by everything that it says, but
 * for rows before an error, which may be left of an answer that was cut off. Only 64 bits of a hash
 * are kept of each, so that the history of a busy connection stays small.
 */
public final class AnswerHistory {
    private static final AnswerHistory EMPTY = new AnswerHistory(new long[0]);
    private static final int FINGERPRINT_DIGITS = 16;
    private static final int HEXADECIMAL = 16;

    private final long[] mFingerprints;

    private AnswerHistory(long[] fingerprints) {
        mFingerprints = fingerprints;
    }

    /** Returns the history of a connection that has delivered nothing. */
    public static AnswerHistory empty() {
        return EMPTY;
    }

    /** Returns whether an answer may be a repetition of one that the connection has delivered. */
    public boolean contains(EndpointAnswer answer) {
        long fingerprint = fingerprint(answer);
        return Arrays.stream(mFingerprints).anyMatch(f -> f == fingerprint);
    }

    /** Returns the history after an answer. */
    public AnswerHistory with(EndpointAnswer answer) {
        if (contains(answer)) {
            return this;
        }
        long[] fingerprints = Arrays.copyOf(mFingerprints, mFingerprints.length + 1);
        fingerprints[mFingerprints.length] = fingerprint(answer);
        return new AnswerHistory(fingerprints);
    }

    /** Returns the number of different answers. */
    public int size() {
        return mFingerprints.length;
    }

    private static long fingerprint(EndpointAnswer answer) {
        String identity =
                answer.isSigned()
                        ? "signature " + answer.signature()
                        : String.join(
                                " ",
                                answer.error().toString(),
                                answer.text(),
                                answer.state().toString(),
                                answer.position().toString(),
                                answer.error().isPresent() ? "" : answer.rows().toString());
        String hash = Sha256.hex(identity.getBytes(StandardCharsets.UTF_8));
        return Long.parseUnsignedLong(hash.substring(0, FINGERPRINT_DIGITS), HEXADECIMAL);
    }
}
