package org.crocusturn.core.endpoints;

import java.util.Objects;
import org.crocusturn.core.LogPosition;

/**
 * What a connection to an endpoint may be used for after the answers that it has delivered.
 * Immutable.
 *
 * <p>An endpoint may repeat an answer. A signed answer is recognized by its signature, any other
 * one only by a log position that differs from that of earlier ones. A connection is therefore
 * suited to a use without signed answers only if the log of its endpoint has advanced since the
 * last answer that the next one could be confused with.
 *
 * @param lastBegin position of the last answer that began a transaction; zero if there is none
 * @param lastIdle position of the last success without a signature outside of transactions; zero if
 *     there is none
 * @param lastError position of the last error; zero if there is none
 * @param answers number of answers
 */
public record ConnectionUse(
        LogPosition lastBegin, LogPosition lastIdle, LogPosition lastError, int answers) {
    /** Use of a connection that has delivered no answer. */
    public static final ConnectionUse UNUSED =
            new ConnectionUse(LogPosition.ZERO, LogPosition.ZERO, LogPosition.ZERO, 0);

    /**
     * Answers after which a connection is replaced before its next use. Recognizing repeated ones
     * takes 8 bytes for each.
     */
    static final int MAX_ANSWERS = 1_024;

    /** A position that no log reaches. */
    private static final LogPosition UNREACHABLE = LogPosition.of(Long.MAX_VALUE, Long.MAX_VALUE);

    /** What a connection is needed for. */
    public enum Purpose {
        /** A read outside of transactions, which can be repeated on another connection. */
        READ,
        /** One session value that has to be set. */
        VALUE,
        /** A write outside of transactions: the caller has to learn whether an error is its own. */
        WRITE,
        /** A transaction: no statement may be sent before it is certain that it has begun. */
        TRANSACTION
    }

    /** Checks that no position is missing. */
    public ConnectionUse {
        Objects.requireNonNull(lastBegin, "lastBegin");
        Objects.requireNonNull(lastIdle, "lastIdle");
        Objects.requireNonNull(lastError, "lastError");
    }

    /** Returns the use after an answer. */
    public ConnectionUse withResult(SessionResult result) {
        LogPosition position = result.position().orElse(UNREACHABLE);
        boolean failed = result.error().isPresent();
        boolean unsigned = !failed && result.signature().isEmpty();
        boolean open = result.state() == SessionResult.State.TRANSACTION;
        return new ConnectionUse(
                unsigned && open ? lastBegin.max(position) : lastBegin,
                unsigned && !open ? lastIdle.max(position) : lastIdle,
                failed ? lastError.max(position) : lastError,
                answers + 1);
    }

    /**
     * Returns whether the next answers for a purpose can be told from repeated ones.
     *
     * @param applied position that the endpoint is known to have applied
     */
    public boolean suits(Purpose purpose, LogPosition applied) {
        return switch (purpose) {
            case READ -> true;
            case VALUE -> hasAdvanced(lastIdle, applied);
            case WRITE -> hasAdvanced(lastError, applied);
            case TRANSACTION -> hasAdvanced(lastBegin, applied);
        };
    }

    private static boolean hasAdvanced(LogPosition last, LogPosition applied) {
        return last.equals(LogPosition.ZERO) || applied.compareTo(last) > 0;
    }

    /** Returns whether the connection has to be replaced before its next use. */
    public boolean isExhausted() {
        return answers >= MAX_ANSWERS;
    }
}
