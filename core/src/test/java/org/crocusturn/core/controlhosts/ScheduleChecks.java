package org.crocusturn.core.controlhosts;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;

/** Checks invariants across all members of a schedule. */
final class ScheduleChecks {
    private final Map<Long, HostId> mLeaders = new HashMap<>();
    private final Map<Long, LogEntry> mCommitted = new HashMap<>();
    private final Set<Long> mRejected = new HashSet<>();
    private final Set<Long> mAcknowledged = new HashSet<>();
    private long mLastCommitted;

    void onElected(ConsensusState state) {
        HostId other = mLeaders.putIfAbsent(state.term(), state.self());
        check(
                other == null || other.equals(state.self()),
                "term " + state.term() + " has leaders " + other + " and " + state.self());
        check(
                state.log().lastIndex() >= mLastCommitted,
                "leader "
                        + state.self()
                        + " of term "
                        + state.term()
                        + " lacks committed entries up to "
                        + mLastCommitted);
        state.log().entries().forEach(this::checkConsistent);
    }

    void onApplied(HostId host, long previousIndex, LogEntry entry) {
        long index = entry.position().index();
        check(index == previousIndex + 1, host + " applied " + index + " after " + previousIndex);
        checkConsistent(entry);
        mCommitted.put(index, entry);
        mLastCommitted = Math.max(mLastCommitted, index);
        if (entry.content() instanceof LogContent.CommandContent command) {
            check(
                    !mRejected.contains(command.proposalId()),
                    "proposal " + command.proposalId() + " was rejected and committed");
        }
    }

    void onRestored(HostId host, Snapshot snapshot) {
        LogPosition position = snapshot.position();
        LogEntry entry = mCommitted.get(position.index());
        check(
                position.equals(LogPosition.ZERO)
                        || entry != null && entry.position().equals(position),
                host + " restored " + position + " where " + entry + " is committed");
        check(
                snapshot.state().version() == position.index(),
                host + " restored state " + snapshot.state().version() + " at " + position);
    }

    void onRejected(long proposalId) {
        mRejected.add(proposalId);
        check(
                mCommitted.values().stream()
                        .map(LogEntry::content)
                        .noneMatch(
                                c ->
                                        c instanceof LogContent.CommandContent command
                                                && command.proposalId() == proposalId),
                "proposal " + proposalId + " was committed and rejected");
    }

    void onCommitted(long proposalId, long index) {
        boolean same =
                mCommitted.get(index).content() instanceof LogContent.CommandContent command
                        ? command.proposalId() == proposalId
                        : mCommitted.get(index).content() instanceof LogContent.MembershipContent;
        check(same, "proposal " + proposalId + " is not the entry at " + index);
        mAcknowledged.add(proposalId);
    }

    /** Returns whether a leader has reported a proposal as committed. */
    boolean isAcknowledged(long proposalId) {
        return mAcknowledged.contains(proposalId);
    }

    int committedCount() {
        return mCommitted.size();
    }

    static void check(boolean holds, String message) {
        if (!holds) {
            throw new ScheduleViolation(message);
        }
    }

    private void checkConsistent(LogEntry entry) {
        LogEntry known = mCommitted.get(entry.position().index());
        check(
                known == null || known.equals(entry),
                known + " is committed and conflicts with " + entry);
    }

    /** Thrown when a schedule violates an invariant. */
    static final class ScheduleViolation extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        private ScheduleViolation(String message) {
            super(message);
        }
    }
}
