package org.crocusturn.core.controlhosts;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.stream.Stream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlState;

/** A member of a schedule, with a disk that survives a crash. */
final class ScheduleHost {
    private final HostId mHost;
    private final ScheduleChecks mChecks;
    private final ScheduleNetwork mNetwork;
    private final long mClockOffset;
    private final double mClockRate;
    private final Queue<ConsensusAction.Persist> mPendingWrites = new ArrayDeque<>();
    private Optional<ScheduleDisk> mDisk = Optional.empty();
    private Optional<ConsensusState> mState = Optional.empty();
    private long mApplied;
    private int mStartCount;

    ScheduleHost(
            HostId host, ScheduleNetwork network, ScheduleChecks checks, long offset, double rate) {
        mHost = host;
        mNetwork = network;
        mChecks = checks;
        mClockOffset = offset;
        mClockRate = rate;
    }

    HostId host() {
        return mHost;
    }

    boolean isUp() {
        return mState.isPresent();
    }

    Optional<ConsensusState> state() {
        return mState;
    }

    boolean isLeader() {
        return mState.flatMap(ConsensusState::leaderRole).isPresent();
    }

    boolean isLeaseValid(long nowNanos) {
        return mState.map(s -> Consensus.isLeaderLeaseValid(s, clock(nowNanos))).orElse(false);
    }

    /** Returns the memberships in the member's memory and on its disk. */
    Stream<Membership> memberships() {
        return Stream.concat(
                mState.stream().map(ConsensusState::membership),
                mDisk.stream()
                        .map(disk -> ConsensusLog.saved(disk.base(), disk.entries()).membership()));
    }

    /** Returns whether the disk holds everything that the member has acknowledged. */
    boolean isDiskIntact() {
        return mDisk.map(disk -> !disk.hard().recovering()).orElse(false);
    }

    int startCount() {
        return mStartCount;
    }

    void start(ConsensusState first) {
        mStartCount++;
        mPendingWrites.clear();
        mState = Optional.of(first);
        mApplied = first.log().baseIndex();
    }

    void setDisk(ScheduleDisk disk) {
        mDisk = Optional.of(disk);
    }

    Optional<ScheduleDisk> disk() {
        return mDisk;
    }

    /** Stops the member after the given number of its unconfirmed writes reached the disk. */
    void crash(int writesDone) {
        mState = Optional.empty();
        for (int n = 0; n < writesDone && !mPendingWrites.isEmpty(); n++) {
            write(mPendingWrites.remove());
        }
        mPendingWrites.clear();
    }

    void loseDisk() {
        crash(0);
        mDisk = Optional.empty();
    }

    void finishWrite(int start) {
        if (isUp() && start == mStartCount) {
            ConsensusAction.Persist persist = mPendingWrites.remove();
            write(persist);
            step(new ConsensusInput.Persisted(persist.sequence()));
        }
    }

    void takeSnapshot() {
        mState.ifPresent(s -> step(new ConsensusInput.SnapshotTaken(mApplied, stateAt(mApplied))));
    }

    void step(ConsensusInput input) {
        if (mState.isEmpty()) {
            return;
        }
        boolean led = isLeader();
        Decision<ConsensusState, ConsensusAction> decision =
                Consensus.step(mState.get(), input, clock(mNetwork.nowNanos()));
        mState = Optional.of(decision.state());
        if (!led && isLeader()) {
            mChecks.onElected(decision.state());
        }
        decision.actions().forEach(this::execute);
    }

    long clock(long nowNanos) {
        return mClockOffset + (long) (nowNanos * mClockRate);
    }

    private void execute(ConsensusAction action) {
        if (action instanceof ConsensusAction.Send send) {
            mNetwork.send(mHost, send);
        } else if (action instanceof ConsensusAction.Persist persist) {
            mPendingWrites.add(persist);
            mNetwork.write(this);
        } else if (action instanceof ConsensusAction.Apply apply) {
            mChecks.onApplied(mHost, mApplied, apply.entry());
            mApplied = apply.entry().position().index();
        } else if (action instanceof ConsensusAction.Restore restore) {
            mChecks.onRestored(mHost, restore.snapshot());
            mApplied = restore.snapshot().position().index();
        } else if (action instanceof ConsensusAction.ProposalRejected rejected) {
            mChecks.onRejected(rejected.proposalId());
        } else if (action instanceof ConsensusAction.ProposalCommitted committed) {
            mChecks.onCommitted(committed.proposalId(), committed.index());
        }
    }

    private void write(ConsensusAction.Persist persist) {
        mDisk = Optional.of(ScheduleDisk.after(mDisk.orElse(null), persist));
    }

    private static ControlState stateAt(long index) {
        ControlState empty = ControlState.EMPTY;
        return new ControlState(
                index,
                empty.configuration(),
                empty.keys(),
                empty.drained(),
                empty.endpoints(),
                empty.groups(),
                empty.placements(),
                empty.changes());
    }
}
