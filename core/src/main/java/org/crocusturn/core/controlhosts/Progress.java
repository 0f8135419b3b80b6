package org.crocusturn.core.controlhosts;

/**
 * The replication progress of a member as its leader knows it.
 *
 * @param match last index at which the member's log is known to match and to be synced
 * @param next index of the next entry to send
 * @param counted whether the member has a usable log and counts for commits and the lease
 * @param ackedNanos sending time of the latest request that the member acknowledged, in nanoseconds
 * @param snapshotNanos time at which a snapshot was last sent, in nanoseconds
 */
public record Progress(
        long match, long next, boolean counted, long ackedNanos, long snapshotNanos) {
    /** Creates the progress of a member before its first reply. */
    static Progress create(long next, long nowNanos) {
        return new Progress(
                0,
                next,
                true,
                nowNanos - ConsensusTimings.LEASE_NANOS,
                nowNanos - ConsensusTimings.SNAPSHOT_RETRY_NANOS);
    }

    /** Returns the progress after a member confirmed its last synced index. */
    Progress withMatch(long index) {
        return new Progress(
                Math.max(match, index),
                Math.max(next, index + 1),
                counted,
                ackedNanos,
                snapshotNanos);
    }

    /** Returns the progress after a counted member asked for entries after an earlier index. */
    Progress withRetry(long index) {
        long retry = Math.max(match + 1, Math.min(next, index + 1));
        return new Progress(match, retry, counted, ackedNanos, snapshotNanos);
    }

    /**
     * Returns the progress of a member that lost its log and has received entries up to an index.
     *
     * <p>The index is not recorded as synced: a delayed reply from before the loss makes the member
     * count again, but it must not count for entries that it received while it recovered.
     */
    Progress withRecovering(boolean success, long index) {
        long start = success ? Math.max(next, index + 1) : index + 1;
        return new Progress(0, start, false, ackedNanos, snapshotNanos);
    }

    /** Returns the progress of a counted member that acknowledged a request. */
    Progress withAck(long sentNanos) {
        return new Progress(match, next, true, Math.max(ackedNanos, sentNanos), snapshotNanos);
    }

    /** Returns the progress after entries were sent. */
    Progress withNext(long index) {
        return new Progress(match, index, counted, ackedNanos, snapshotNanos);
    }

    /** Returns the progress after a snapshot was sent. */
    Progress withSnapshotSent(long nowNanos) {
        return new Progress(match, next, counted, ackedNanos, nowNanos);
    }

    /** Returns the progress of a member that does not count until it reports a usable log. */
    Progress withoutCount() {
        return new Progress(match, next, false, ackedNanos, snapshotNanos);
    }
}
