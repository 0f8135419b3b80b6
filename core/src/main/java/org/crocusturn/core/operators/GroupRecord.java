package org.crocusturn.core.operators;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;

/**
 * The replicated state of one database group.
 *
 * @param id name of the group
 * @param term current term; 0 before the first promotion
 * @param primary primary of the term; empty before the first promotion and during a failover
 * @param startIndex log index at which the term began; later indexes belong to the term
 * @param leaseholder entry host that the lease is assigned to, if any
 * @param lastEpoch highest epoch assigned so far; 0 before the first assignment
 * @param coverage whether acknowledged commits are in the logs of two endpoints
 */
public record GroupRecord(
        GroupId id,
        long term,
        Optional<EndpointId> primary,
        long startIndex,
        Optional<Leaseholder> leaseholder,
        long lastEpoch,
        CopyCoverage coverage) {
    /** Checks that no component is null. */
    public GroupRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(primary, "primary");
        Objects.requireNonNull(leaseholder, "leaseholder");
        Objects.requireNonNull(coverage, "coverage");
    }

    /** Creates a record whose coverage no leaseholder has confirmed. */
    public GroupRecord(
            GroupId id,
            long term,
            Optional<EndpointId> primary,
            long startIndex,
            Optional<Leaseholder> leaseholder,
            long lastEpoch) {
        this(id, term, primary, startIndex, leaseholder, lastEpoch, CopyCoverage.UNKNOWN);
    }

    /** Creates the record of a group that has neither primary nor leaseholder. */
    public static GroupRecord of(GroupId id) {
        return new GroupRecord(id, 0, Optional.empty(), 0, Optional.empty(), 0);
    }

    /** Returns a copy with a leaseholder and its epoch. */
    public GroupRecord withLeaseholder(Leaseholder holder) {
        return new GroupRecord(
                id, term, primary, startIndex, Optional.of(holder), holder.epoch(), coverage);
    }

    /** Returns a copy without a leaseholder. */
    public GroupRecord withoutLeaseholder() {
        return new GroupRecord(
                id, term, primary, startIndex, Optional.empty(), lastEpoch, coverage);
    }

    /** Returns a copy with a new term and no primary. */
    public GroupRecord withFailover(long newTerm) {
        return new GroupRecord(
                id, newTerm, Optional.empty(), startIndex, leaseholder, lastEpoch, coverage);
    }

    /** Returns a copy with the primary of the current term. */
    public GroupRecord withPrimary(EndpointId endpoint, long start) {
        return new GroupRecord(
                id, term, Optional.of(endpoint), start, leaseholder, lastEpoch, coverage);
    }

    /** Returns a copy with another coverage. */
    GroupRecord withCoverage(CopyCoverage value) {
        return new GroupRecord(id, term, primary, startIndex, leaseholder, lastEpoch, value);
    }
}
