package org.crocusturn.core.controlhosts;

/** Holds the times and limits of the consensus between control hosts. */
public final class ConsensusTimings {
    /** Time between two heartbeats of a leader, in nanoseconds. */
    public static final long HEARTBEAT_NANOS = 50_000_000;

    /** Shortest election timeout, and time without votes after hearing from a leader. */
    public static final long ELECTION_MIN_NANOS = 300_000_000;

    /** Longest election timeout, in nanoseconds. */
    public static final long ELECTION_MAX_NANOS = 600_000_000;

    /** Length of the leader lease; 10% below the vote pause, since clock rates differ by 1%. */
    public static final long LEASE_NANOS = 270_000_000;

    /** Time after which a snapshot that was not acknowledged is sent again, in nanoseconds. */
    public static final long SNAPSHOT_RETRY_NANOS = 1_000_000_000;

    /** Number of applied entries after which a snapshot is taken. */
    public static final int SNAPSHOT_ENTRIES = 1_000;

    /** Greatest number of entries in one append request. */
    public static final int BATCH_ENTRIES = 256;

    /** Greatest number of entries that wait for a majority; further proposals are rejected. */
    public static final int PENDING_ENTRIES = 1_024;

    private ConsensusTimings() {}
}
