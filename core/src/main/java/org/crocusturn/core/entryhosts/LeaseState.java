package org.crocusturn.core.entryhosts;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.Leaseholder;

/**
 * The leader's state of a group's lease, for the epoch recorded in the log. Immutable.
 *
 * @param group the group
 * @param holder recorded holder, if there is one
 * @param leaseUntilNanos time from which the holder is guaranteed not to use the lease
 * @param ackUntilNanos time from which the holder is guaranteed not to acknowledge a write
 * @param ackTerm greatest term that the holder may have been allowed to acknowledge in
 * @param droppedTerm greatest term that the holder reported as dropped
 * @param released whether the holder reported the release
 * @param target destination of a planned move, if the holder is asked to release the lease
 * @param renewalStopped whether the end of the epoch was proposed; the lease is no longer renewed
 * @param proposedNanos time of the last proposal, meaningful while {@code proposalPending}
 * @param proposalPending whether a proposal for the group's lease is pending
 * @param heldSinceNanos time at which the lease moved to its holder; earlier than {@link
 *     LeaseTimes#MIN_STAY_NANOS} ago if it has not moved or if that is not known
 */
public record LeaseState(
        GroupId group,
        Optional<Leaseholder> holder,
        long leaseUntilNanos,
        long ackUntilNanos,
        long ackTerm,
        long droppedTerm,
        boolean released,
        Optional<HostId> target,
        boolean renewalStopped,
        long proposedNanos,
        boolean proposalPending,
        long heldSinceNanos) {
    /** Checks that no part is null. */
    public LeaseState {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(target, "target");
    }

    /** Creates the state of an epoch in which the lease has not been granted yet. */
    static LeaseState of(GroupRecord group, long nowNanos) {
        boolean moved = group.lastEpoch() > 1;
        return new LeaseState(
                group.id(),
                group.leaseholder(),
                nowNanos,
                nowNanos,
                0,
                0,
                false,
                Optional.empty(),
                false,
                nowNanos,
                false,
                moved ? nowNanos : nowNanos - LeaseTimes.MIN_STAY_NANOS);
    }

    /** Returns the lease after the group record changed; a pending assignment stays pending. */
    LeaseState withRecord(GroupRecord record, long nowNanos) {
        LeaseState next = of(record, nowNanos);
        return proposalPending && record.leaseholder().isEmpty()
                ? next.withProposal(proposedNanos)
                : next;
    }

    /** Creates the state of an epoch in which an earlier leader may have granted until now. */
    static LeaseState inherited(GroupRecord group, long nowNanos) {
        if (group.leaseholder().isEmpty()) {
            return of(group, nowNanos);
        }
        long until = nowNanos + LeaseTimes.EXPIRY_NANOS;
        long term = group.primary().isPresent() ? group.term() : Math.max(0, group.term() - 1);
        return new LeaseState(
                group.id(),
                group.leaseholder(),
                until,
                until,
                term,
                0,
                false,
                Optional.empty(),
                false,
                nowNanos,
                false,
                nowNanos - LeaseTimes.MIN_STAY_NANOS);
    }

    /** Returns whether the holder is asked to release the lease for a planned move. */
    public boolean moving() {
        return target.isPresent();
    }

    /** Returns the epoch of the holder, or 0 if there is none. */
    public long epoch() {
        return holder.map(Leaseholder::epoch).orElse(0L);
    }

    /** Returns whether the holder is guaranteed not to use the lease any more. */
    public boolean hasEnded(long nowNanos) {
        return holder.isEmpty() || released || nowNanos - leaseUntilNanos >= 0;
    }

    /** Returns whether no host can acknowledge a write in a term allowed so far. */
    public boolean cannotAcknowledge(long nowNanos) {
        return hasEnded(nowNanos) || droppedTerm >= ackTerm || nowNanos - ackUntilNanos >= 0;
    }

    /** Returns whether the lease may be renewed for a process. */
    public boolean isRenewable(long incarnation) {
        return !renewalStopped
                && !released
                && holder.filter(h -> h.incarnation() == incarnation).isPresent();
    }

    /** Returns the lease after it was granted in the answer to a report. */
    LeaseState withGrant(long reportNanos, long term) {
        long until = reportNanos + LeaseTimes.EXPIRY_NANOS;
        return new LeaseState(
                group,
                holder,
                Math.max(leaseUntilNanos, until),
                term > droppedTerm ? Math.max(ackUntilNanos, until) : ackUntilNanos,
                Math.max(ackTerm, term),
                droppedTerm,
                released,
                target,
                renewalStopped,
                proposedNanos,
                proposalPending,
                heldSinceNanos);
    }

    /** Returns the lease after a report of the holder. */
    LeaseState with(HeldLease held) {
        return new LeaseState(
                group,
                holder,
                leaseUntilNanos,
                ackUntilNanos,
                ackTerm,
                Math.max(droppedTerm, held.droppedTerm()),
                released || held.released(),
                target,
                renewalStopped,
                proposedNanos,
                proposalPending,
                heldSinceNanos);
    }

    /** Returns the lease with a planned move to a host. */
    LeaseState withTarget(HostId host) {
        return new LeaseState(
                group,
                holder,
                leaseUntilNanos,
                ackUntilNanos,
                ackTerm,
                droppedTerm,
                released,
                Optional.of(host),
                renewalStopped,
                proposedNanos,
                proposalPending,
                heldSinceNanos);
    }

    /** Returns the lease after its end or assignment was proposed. */
    LeaseState withProposal(long nowNanos) {
        return new LeaseState(
                group,
                holder,
                leaseUntilNanos,
                ackUntilNanos,
                ackTerm,
                droppedTerm,
                released,
                target,
                true,
                nowNanos,
                true,
                heldSinceNanos);
    }
}
