package org.crocusturn.standin.measure;

import java.util.Objects;

/**
 * A completed request and its outcome; times are since the start of the load.
 *
 * @param arrival the request
 * @param completedNanos time of completion
 * @param status HTTP status; 0 if there was no answer
 * @param code error code; empty if there is none
 * @param verdict whether the failed statement ran, as answered; empty if not stated
 * @param endpoint id of the endpoint that served it; empty if none did
 * @param servedByReplica whether a replica served it
 * @param row row that it inserts if it is a write
 * @param hadSessionToken whether it was sent with a session token
 * @param sinceWriteNanos time from the completion of the session's last write until it was sent;
 *     {@link Long#MAX_VALUE} if there is no such write
 * @param missedOwnWrite whether a read missed a write of its own session
 */
public record Sample(
        Arrival arrival,
        long completedNanos,
        int status,
        String code,
        String verdict,
        String endpoint,
        boolean servedByReplica,
        RowId row,
        boolean hadSessionToken,
        long sinceWriteNanos,
        boolean missedOwnWrite) {
    private static final int OK = 200;
    private static final int RATE_LIMITED = 429;

    /** Validates the components. */
    public Sample {
        Objects.requireNonNull(arrival, "arrival");
        Objects.requireNonNull(row, "row");
    }

    /** Returns whether the statement succeeded. */
    public boolean succeeded() {
        return status == OK;
    }

    /** Returns whether it was refused because its workspace exceeded its rate limit. */
    public boolean rateLimited() {
        return status == RATE_LIMITED;
    }

    /** Returns the time from its due time, not its sending, to its completion in nanoseconds. */
    public long latencyNanos() {
        return completedNanos - arrival.dueNanos();
    }

    /** Returns whether it is a write that was acknowledged. */
    public boolean acknowledgedWrite() {
        return succeeded() && arrival.kind() == RequestKind.WRITE;
    }
}
