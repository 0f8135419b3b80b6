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

    /**
     * Time for which a lease that moved stays, and for which a process must have run before a lease
     * moves to it because it has more capacity. After a loss of power, hosts come back one after
     * the other for some seconds, and each move costs the group's callers.
     */
    public static final long MIN_STAY_NANOS = Duration.ofSeconds(10).toNanos();

    private LeaseTimes() {}
}
