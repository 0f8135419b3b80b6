package org.crocusturn.core.controlhosts;

import java.util.Optional;
import org.crocusturn.core.HostId;

/** A deliberate fault of the members in a schedule, which the checks have to detect. */
enum ScheduleFault {
    /** No fault. */
    NONE(Safeguards.ALL, false),
    /** A member answers before its vote and entries are synced. */
    ANSWERS_BEFORE_PERSIST(new Safeguards(false), false),
    /** A member with a lost disk starts as a member of a new group. */
    LOST_DISK_VOTES_AT_ONCE(Safeguards.ALL, true);

    private final Safeguards mSafeguards;
    private final boolean mBootstrapsAfterDiskLoss;

    ScheduleFault(Safeguards safeguards, boolean bootstrapsAfterDiskLoss) {
        mSafeguards = safeguards;
        mBootstrapsAfterDiskLoss = bootstrapsAfterDiskLoss;
    }

    /** Returns the initial state of a member that starts with or without a stored state. */
    ConsensusState start(
            HostId host,
            Optional<ScheduleDisk> disk,
            Membership initialMembership,
            long seed,
            long nowNanos) {
        ConsensusState state =
                disk.map(d -> d.restart(host, seed, nowNanos))
                        .orElseGet(
                                () ->
                                        mBootstrapsAfterDiskLoss
                                                ? ConsensusState.bootstrapping(
                                                        host, initialMembership, seed, nowNanos)
                                                : ConsensusState.recovering(host, seed, nowNanos));
        return state.withSafeguards(mSafeguards);
    }
}
