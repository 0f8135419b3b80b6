package org.crocusturn.core.entryhosts;

import java.time.Duration;

/** Holds the durations of leases and grants, in nanoseconds unless the name says otherwise. */
public final class LeaseTimes {
    /** Time for which an entry host may take new work after the sending of an answered report. */
    public static final long FRESHNESS_MILLIS = 1_500;

    /** Length of a group lease as the holder counts it. */
    public static final long LEASE_MILLIS = 1_000;

    /** Length of a token grant as the host counts it. */
    public static final long GRANT_MILLIS = 1_000;

    /** Time after which the leader treats a lease as expired: both clocks may be 1% off. */
    public static final long EXPIRY_NANOS = Duration.ofMillis(LEASE_MILLIS * 102 / 100).toNanos();

    /** Silence after which an entry host counts as dead for placement. */
    public static final long DEAD_NANOS = Duration.ofMillis(500).toNanos();

    /** Silence after which a dead entry host is forgotten. */
    public static final long FORGET_NANOS = Duration.ofSeconds(10).toNanos();

    /** Pause of the leader itself after which silence of others is measured anew. */
    public static final long STALL_NANOS = Duration.ofMillis(300).toNanos();

    private LeaseTimes() {}
}
