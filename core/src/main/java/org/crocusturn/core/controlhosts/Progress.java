package org.crocusturn.core.controlhosts;

/**
 * The replication progress of a member as its leader knows it.
 *
 * @param matchIndex last index at which the member's log is known to match and to be synced
 * @param nextIndex index of the next entry to send
 * @param counted whether the member has a usable log and counts for commits and the lease
 * @param ackedNanos sending time of the latest request that the member acknowledged, in nanoseconds
 * @param heardNanos time at which the member's latest acknowledgement arrived, in nanoseconds
 * @param snapshotSentNanos time at which a snapshot was last sent, in nanoseconds
 */
public record Progress(
        long matchIndex,
        long nextIndex,
        boolean counted,
        long ackedNanos,
        long heardNanos,
        long snapshotSentNanos) {
    /** Creates the progress of a member before its first reply. */
    static Progress create(long next, long nowNanos) {
        return new Progress(
                0,
                next,
                true,
                nowNanos - ConsensusTimings.LEASE_DURATION_NANOS,
                nowNanos - ConsensusTimings.LEASE_DURATION_NANOS,
                nowNanos - ConsensusTimings.SNAPSHOT_RETRY_INTERVAL_NANOS);
    }

    /** Returns the progress after a member confirmed its last synced index. */
    Progress withMatch(long index) {
        return new Progress(
                Math.max(matchIndex, index),
                Math.max(nextIndex, index + 1),
                counted,
                ackedNanos,
                heardNanos,
                snapshotSentNanos);
    }

    /** Returns the progress after a counted member asked for entries after an earlier index. */
    Progress withRetry(long index) {
        long retry = Math.max(matchIndex + 1, Math.min(nextIndex, index + 1));
        return new Progress(matchIndex, retry, counted, ackedNanos, heardNanos, snapshotSentNanos);
    }

    /**
     * Returns the progress of a member that lost its log and has received entries up to an index.
     *
     * <p>The index is not recorded as synced: a delayed reply from before the loss makes the member
     * count again, but it must not count for entries that it received while it recovered.
     */
    Progress withRecovering(boolean success, long index) {
        long start = success ? Math.max(nextIndex, index + 1) : index + 1;
        return new Progress(0, start, false, ackedNanos, heardNanos, snapshotSentNanos);
    }

    /** Returns the progress of a counted member that acknowledged a request. */
    Progress withAck(long sentNanos, long nowNanos) {
        return new Progress(
                matchIndex,
                nextIndex,
                true,
                Math.max(ackedNanos, sentNanos),
                nowNanos,
                snapshotSentNanos);
    }

    /** Returns the progress after entries were sent. */
    Progress withNext(long index) {
        return new Progress(matchIndex, index, counted, ackedNanos, heardNanos, snapshotSentNanos);
    }

    /** Returns the progress after a snapshot was sent. */
    Progress withSnapshotSent(long nowNanos) {
        return new Progress(matchIndex, nextIndex, counted, ackedNanos, heardNanos, nowNanos);
    }

    /** Returns the progress of a member that does not count until it reports a usable log. */
    Progress withoutCounting() {
        return new Progress(
                matchIndex, nextIndex, false, ackedNanos, heardNanos, snapshotSentNanos);
    }
}
