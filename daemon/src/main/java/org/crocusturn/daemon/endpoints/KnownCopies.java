package org.crocusturn.daemon.endpoints;

import java.util.HashSet;
import java.util.Set;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.endpoints.ReplicaCoverage;

/**
 * What a leaseholder may conclude from the copies of its group that have announced themselves.
 *
 * <p>The others may be cut off or may not have started to announce themselves, for any time, and
 * acknowledged commits may be in their logs alone. A leaseholder therefore counts on the copies
 * that it knows only if it has seen the primary, if an earlier leaseholder confirmed that two of
 * their logs have all commits, or if as many answer as the service has.
 *
 * <p>Not thread-safe: used only by the thread of the group.
 */
final class KnownCopies {
    private final LeasedGroup mGroup;
    private final Set<EndpointId> mDeparted = new HashSet<>();

    /** What the accepted primary may be the only one to have. */
    private ReplicaCoverage mCoverage = ReplicaCoverage.complete();

    KnownCopies(LeasedGroup group) {
        mGroup = group;
    }

    void onCopyRemoved(EndpointId endpoint, boolean primary) {
        mDeparted.add(endpoint);
        if (!primary && mGroup.settings().durable()) {
            mGroup.history().ifPresent(h -> mCoverage = mCoverage.withReplicaLost(h.latest()));
        }
    }

    void onPrimaryAccepted(LogPosition received) {
        if (mGroup.settings().durable()) {
            // Neither a new leaseholder nor a promotion knows which copies were lost before.
            mCoverage = ReplicaCoverage.behindPrimary(received);
        }
    }

    void onReplicaAt(LogPosition received) {
        mCoverage = mCoverage.withReplicaAt(received);
    }

    /** Returns whether the accepted primary may be the only copy with an acknowledged commit. */
    boolean isAnyCommitExposed() {
        return mCoverage.exposed().isPresent();
    }

    /** Returns whether all acknowledged commits are known to be in the logs of two copies. */
    boolean isCoverageComplete() {
        return missing() == 0 && !isAnyCommitExposed();
    }

    /** Returns how many copies the group may have besides the announced ones. */
    int missing() {
        GroupSettings.Copies copies = mGroup.settings().copies();
        if (copies.coverageConfirmed()) {
            return 0;
        }
        long departed = mDeparted.stream().filter(id -> mGroup.pool(id).isEmpty()).count();
        return (int) Math.max(0, copies.expected() - mGroup.copyCount() - departed);
    }

    /** Returns what a copy with an unknown position may be the only one to have. */
    ReplicaCoverage coverage() {
        if (!mGroup.settings().durable()) {
            return ReplicaCoverage.complete();
        }
        ReplicaCoverage inherited =
                mGroup.settings().copies().coverageConfirmed()
                        ? ReplicaCoverage.complete()
                        : ReplicaCoverage.unknown();
        // What this leaseholder acknowledged may have been received by an unannounced copy.
        return mGroup.history()
                .map(h -> ReplicaCoverage.behindPrimary(h.latest()))
                .orElse(inherited);
    }

    /** Returns whether one of the copies could be safe to promote if those that answer paused. */
    boolean allowPromotion() {
        long silent = mGroup.pools().stream().filter(p -> p.status().isEmpty()).count();
        long unknown = missing() + silent;
        return unknown == 0
                || mGroup.history().isPresent()
                || unknown == 1 && coverage().exposed().isEmpty();
    }

    @Override
    public String toString() {
        return mGroup.copyCount()
                + " copies are announced, up to "
                + missing()
                + " are not, acknowledged commits are "
                + (mGroup.settings().copies().coverageConfirmed() ? "" : "not ")
                + "known to be in two logs";
    }
}
