package org.crocusturn.core.entryhosts;

import java.time.Duration;

/** Durations of leases, grants and timeouts of entry hosts. */
public final class LeaseTimes {
    /** Time for which an entry host accepts new work after it sent a report that was answered. */
    public static final long FRESHNESS_MILLIS = 1_500;

    /** Duration of a group lease, measured by the holder from the sending of its report. */
    public static final long LEASE_MILLIS = 1_000;

    /** Duration of a token grant, measured by the host from the sending of its report. */
    public static final long GRANT_MILLIS = 1_000;

    /** Time after which the leader treats a lease as expired; both clocks may be off by 1%. */
    public static final long EXPIRY_NANOS = Duration.ofMillis(LEASE_MILLIS * 102 / 100).toNanos();

    /** Time without a report after which an entry host counts as dead for placement. */
    public static final long HOST_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();

    /** Time without a report after which an entry host is removed from the registry. */
    public static final long HOST_REMOVAL_NANOS = Duration.ofSeconds(10).toNanos();

    /** Pause of the leader after which it restarts the timeouts of all hosts. */
    public static final long LEADER_PAUSE_NANOS = Duration.ofMillis(300).toNanos();

    private LeaseTimes() {}
}
