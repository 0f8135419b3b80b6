package org.crocusturn.standin.measure;

import java.util.Objects;

/**
 * Is one request of the load with what became of it; times count from the start of the load.
 *
 * @param arrival the request
 * @param completedNanos time of the answer
 * @param status HTTP status; 0 if the connection failed
 * @param code code of the failure, empty if there is none
 * @param verdict verdict of the failure, empty if there is none
 * @param endpoint endpoint that served it, empty if none did
 * @param servedByReplica whether a replica served it
 * @param row row that a write inserts
 * @param hadSessionToken whether it carried a session token
 * @param sinceWriteNanos time since the session's last write; {@link Long#MAX_VALUE} without one
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

    /** Checks the parts. */
    public Sample {
        Objects.requireNonNull(arrival, "arrival");
        Objects.requireNonNull(row, "row");
    }

    /** Returns whether it was answered as done. */
    public boolean succeeded() {
        return status == OK;
    }

    /** Returns whether it was refused for its rate. */
    public boolean rateLimited() {
        return status == RATE_LIMITED;
    }

    /** Returns the time from when it was due to its answer, in nanoseconds. */
    public long latencyNanos() {
        return completedNanos - arrival.dueNanos();
    }

    /** Returns whether it is an acknowledged write. */
    public boolean acknowledgedWrite() {
        return succeeded() && arrival.kind() == RequestKind.WRITE;
    }
}
