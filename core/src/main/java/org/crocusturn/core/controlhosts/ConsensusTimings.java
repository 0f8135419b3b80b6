package org.crocusturn.core.controlhosts;

/** Intervals and limits of the consensus between control hosts. */
public final class ConsensusTimings {
    /** Interval between two heartbeats of a leader, in nanoseconds. */
    public static final long HEARTBEAT_INTERVAL_NANOS = 50_000_000;

    /**
     * Shortest election timeout, in nanoseconds. A member grants no votes for the same time after a
     * message from a leader.
     */
    public static final long MIN_ELECTION_TIMEOUT_NANOS = 300_000_000;

    /** Longest election timeout, in nanoseconds. */
    public static final long MAX_ELECTION_TIMEOUT_NANOS = 600_000_000;

    /**
     * Factor of the election timeout after an election without a result. Replies that arrive after
     * the timeout are ignored, so with slow hosts each election would fail for the same reason.
     */
    public static final int FAILED_ELECTION_FACTOR = 2;

    /**
     * Duration of the leader lease, in nanoseconds. It is 10% below the shortest election timeout,
     * because clock rates may differ by 1%.
     */
    public static final long LEASE_DURATION_NANOS = 270_000_000;

    /** Interval after which an unacknowledged snapshot is sent again, in nanoseconds. */
    public static final long SNAPSHOT_RETRY_INTERVAL_NANOS = 1_000_000_000;

    /** Number of applied entries after which a snapshot is taken. */
    public static final int SNAPSHOT_INTERVAL_ENTRIES = 1_000;

    /**
     * Size in memory of the applied entries after which a snapshot is taken, in bytes. A control
     * host has a heap of 96 MB, which 460 configurations of 350 routes exceed.
     */
    public static final long SNAPSHOT_INTERVAL_BYTES = 8L << 20;

    /** Maximum size in memory of several entries that are applied in one step, in bytes. */
    public static final long MAX_APPLY_BYTES = 2L << 20;

    /** Maximum number of entries in an append request. */
    public static final int MAX_BATCH_ENTRIES = 256;

    /** Maximum size in memory of the entries in an append request of several, in bytes. */
    public static final long MAX_BATCH_BYTES = 1L << 20;

    /** Maximum number of entries that are not applied; further proposals are rejected. */
    public static final int MAX_UNCOMMITTED_ENTRIES = 1_024;

    /**
     * Size in memory of entries that are not applied from which further proposals are rejected, in
     * bytes.
     */
    public static final long MAX_UNCOMMITTED_BYTES = 8L << 20;

    private ConsensusTimings() {}
}
