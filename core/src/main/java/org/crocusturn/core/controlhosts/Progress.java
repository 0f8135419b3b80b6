package org.crocusturn.core.controlhosts;

/**
 * Is what a leader knows of another member.
 *
 * @param match last index known to be synced and equal there
 * @param next index of the next entry to send
 * @param counted whether the member has a usable log and counts for commits and the lease
 * @param ackedNanos sending time of the latest request that it acknowledged, in nanoseconds
 * @param snapshotNanos time at which a snapshot was last sent, in nanoseconds
 */
public record Progress(
        long match, long next, boolean counted, long ackedNanos, long snapshotNanos) {
    /** Creates the progress of a member of which nothing is known. */
    static Progress create(long next, long nowNanos) {
        return new Progress(
                0,
                next,
                true,
                nowNanos - ConsensusTimings.LEASE_NANOS,
                nowNanos - ConsensusTimings.SNAPSHOT_RETRY_NANOS);
    }

    /** Returns the progress after a member told its last synced index. */
    Progress withMatch(long index) {
        return new Progress(
                Math.max(match, index),
                Math.max(next, index + 1),
                counted,
                ackedNanos,
                snapshotNanos);
    }

    /** Returns the progress after a member that counts asked for an earlier entry. */
    Progress withRetry(long index) {
        long retry = Math.max(match + 1, Math.min(next, index + 1));
        return new Progress(match, retry, counted, ackedNanos, snapshotNanos);
    }

    /**
     * Returns the progress of a member that lost its log and has a new one up to an index.
     *
     * <p>The index is not noted as synced: a late reply from before the loss makes the member count
     * again, and must not make it count for entries that it took while it recovered.
     */
    Progress withRecovering(boolean success, long index) {
        long start = success ? Math.max(next, index + 1) : index + 1;
        return new Progress(0, start, false, ackedNanos, snapshotNanos);
    }

    /** Returns the progress of a member that counts and acknowledged a request. */
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

    /** Returns the progress of a member that does not count until it tells otherwise. */
    Progress withoutCount() {
        return new Progress(match, next, false, ackedNanos, snapshotNanos);
    }
}
