package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.operators.ControlState;

/**
 * The complete state of one member of the consensus group.
 *
 * <p>Immutable. Times are monotonic nanoseconds of the member's own clock.
 *
 * @param self this host
 * @param hardState term, vote and recovery flag
 * @param log snapshot and entries
 * @param persistQueue unconfirmed persists and the messages that wait for them
 * @param role role of the member in its term
 * @param electionTimer known leader, last contact with it and election timeout
 * @param commitIndex last index known to be committed
 * @param appliedIndex last index whose entry was handed to the caller
 * @param applyPaused whether committed entries wait because the caller is busy with earlier ones
 * @param snapshotRequested whether a snapshot was requested and not delivered yet
 * @param recovery recovery from a lost disk, used only while the hard state says so
 * @param resigned whether the member no longer counts because it is about to stop
 * @param safeguards safety rules in force
 */
public record ConsensusState(
        HostId self,
        HardState hardState,
        ConsensusLog log,
        PersistQueue persistQueue,
        ConsensusRole role,
        ElectionTimer electionTimer,
        long commitIndex,
        long appliedIndex,
        boolean applyPaused,
        boolean snapshotRequested,
        Recovery recovery,
        boolean resigned,
        Safeguards safeguards) {
    /** Checks that no part is null. */
    public ConsensusState {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(hardState, "hardState");
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(persistQueue, "persistQueue");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(electionTimer, "electionTimer");
        Objects.requireNonNull(recovery, "recovery");
        Objects.requireNonNull(safeguards, "safeguards");
    }

    /**
     * The known leader and the election timeout of a member.
     *
     * @param leader current leader, if known
     * @param lastContactNanos time of the last message from a leader, or of the start of the member
     * @param deadlineNanos time at which the election timeout expires
     * @param electionFailed whether an election of this member has failed since the last contact,
     *     so that its timeout is longer
     * @param seed seed of the next election timeout
     */
    public record ElectionTimer(
            Optional<HostId> leader,
            long lastContactNanos,
            long deadlineNanos,
            boolean electionFailed,
            Optional<Long> voteNanos,
            long seed) {
        ElectionTimer withContact(HostId host, long nowNanos) {
            return new ElectionTimer(
                            Optional.of(host), nowNanos, deadlineNanos, false, voteNanos, seed)
                    .withRandomTimeout(nowNanos);
        }

        ElectionTimer withFailedElection() {
            return new ElectionTimer(
                    leader, lastContactNanos, deadlineNanos, true, voteNanos, seed);
        }

        ElectionTimer withoutLeader() {
            return new ElectionTimer(
                    Optional.empty(),
                    lastContactNanos,
                    deadlineNanos,
                    electionFailed,
                    voteNanos,
                    seed);
        }

        ElectionTimer withVote(long nowNanos) {
            return new ElectionTimer(
                    leader,
                    lastContactNanos,
                    deadlineNanos,
                    electionFailed,
                    Optional.of(nowNanos),
                    seed);
        }

        ElectionTimer withRandomTimeout(long nowNanos) {
            SplittableRandom random = new SplittableRandom(seed);
            long timeout =
                    random.nextLong(
                            ConsensusTimings.MIN_ELECTION_TIMEOUT_NANOS,
                            ConsensusTimings.MAX_ELECTION_TIMEOUT_NANOS);
            return new ElectionTimer(
                    leader,
                    lastContactNanos,
                    nowNanos
                            + (electionFailed
                                    ? timeout * ConsensusTimings.FAILED_ELECTION_FACTOR
                                    : timeout),
                    electionFailed,
                    voteNanos,
                    random.nextLong());
        }
    }

    /**
     * The recovery of a member from a lost disk.
     *
     * @param nonce random number drawn at each start, which identifies this one
     * @param barrier entry that has to be committed first, if a leader has named one
     */
    public record Recovery(long nonce, Optional<LogPosition> barrier) {}

    /**
     * Creates the state of a member that restarts with the log in its data folder.
     *
     * @param seed random number that differs from start to start
     */
    public static ConsensusState restarted(
            HostId self,
            HardState storedHardState,
            Snapshot base,
            List<LogEntry> entries,
            long seed,
            long nowNanos) {
        ConsensusLog log = ConsensusLog.saved(base, entries);
        HardState hardState = storedHardState.withTerm(log.lastPosition().term());
        return create(
                self,
                hardState,
                log,
                PersistQueue.create(hardState, log.lastIndex()),
                seed,
                nowNanos);
    }

    /** Creates the state of a member of a new group. */
    public static ConsensusState bootstrapping(
            HostId self, Membership membership, long seed, long nowNanos) {
        if (membership.voters().isEmpty()) {
            throw new IllegalArgumentException("membership must have a voter");
        }
        return empty(self, membership, false, seed, nowNanos);
    }

    /** Creates the state of a member with an empty data folder that joins or lost its disk. */
    public static ConsensusState recovering(HostId self, long seed, long nowNanos) {
        return empty(self, new Membership(List.of()), true, seed, nowNanos);
    }

    private static ConsensusState empty(
            HostId self, Membership membership, boolean recovering, long seed, long nowNanos) {
        Snapshot base = new Snapshot(LogPosition.ZERO, membership, ControlState.EMPTY);
        HardState hardState = HardState.initial(recovering);
        PersistQueue persistQueue = PersistQueue.create(hardState, 0);
        return create(self, hardState, ConsensusLog.unsaved(base), persistQueue, seed, nowNanos);
    }

    private static ConsensusState create(
            HostId self,
            HardState hardState,
            ConsensusLog log,
            PersistQueue persistQueue,
            long seed,
            long nowNanos) {
        // The last contact with a leader is not stored, so a restarted member assumes that it was
        // now, and refuses votes for the shortest election timeout.
        ElectionTimer electionTimer =
                new ElectionTimer(
                        Optional.empty(), nowNanos, nowNanos, false, Optional.empty(), seed);
        return new ConsensusState(
                self,
                hardState,
                log,
                persistQueue,
                new ConsensusRole.Follower(),
                electionTimer.withRandomTimeout(nowNanos),
                log.baseIndex(),
                log.baseIndex(),
                false,
                false,
                new Recovery(seed, Optional.empty()),
                false,
                Safeguards.ALL);
    }

    /** Returns the current term. */
    public long term() {
        return hardState.term();
    }

    /** Returns the leader that this member knows of, if any. */
    public Optional<HostId> leaderHint() {
        return electionTimer.leader();
    }

    /** Returns whether committed entries can be applied now. */
    public boolean hasEntriesToApply() {
        return !applyPaused && appliedIndex < Math.min(commitIndex, log.lastIndex());
    }

    /** Returns the membership in force. */
    public Membership membership() {
        return log.membership();
    }

    /** Returns the leader role if this member is the leader. */
    public Optional<ConsensusRole.Leader> leaderRole() {
        return role instanceof ConsensusRole.Leader leader ? Optional.of(leader) : Optional.empty();
    }

    /** Returns whether this member is a voter in the membership in force. */
    public boolean isVoter() {
        return membership().member(self).filter(Member::voter).isPresent();
    }

    ConsensusState withHardState(HardState next) {
        return with(next, log, persistQueue, role, electionTimer);
    }

    ConsensusState withLog(ConsensusLog next) {
        return with(hardState, next, persistQueue, role, electionTimer);
    }

    ConsensusState withPersistQueue(PersistQueue next) {
        return with(hardState, log, next, role, electionTimer);
    }

    ConsensusState withRole(ConsensusRole next) {
        return with(hardState, log, persistQueue, next, electionTimer);
    }

    ConsensusState withElectionTimer(ElectionTimer next) {
        return with(hardState, log, persistQueue, role, next);
    }

    ConsensusState withDeferred(HostId to, ConsensusMessage message) {
        return withPersistQueue(persistQueue.withDeferred(to, message));
    }

    ConsensusState withIndexes(long commit, long applied, boolean requested) {
        return new ConsensusState(
                self,
                hardState,
                log,
                persistQueue,
                role,
                electionTimer,
                commit,
                applied,
                applyPaused,
                requested,
                recovery,
                resigned,
                safeguards);
    }

    ConsensusState withApplyPaused(boolean paused) {
        return new ConsensusState(
                self,
                hardState,
                log,
                persistQueue,
                role,
                electionTimer,
                commitIndex,
                appliedIndex,
                paused,
                snapshotRequested,
                recovery,
                resigned,
                safeguards);
    }

    ConsensusState withCommit(long commit) {
        return withIndexes(Math.max(commitIndex, commit), appliedIndex, snapshotRequested);
    }

    ConsensusState withRecovery(Recovery next) {
        return new ConsensusState(
                self,
                hardState,
                log,
                persistQueue,
                role,
                electionTimer,
                commitIndex,
                appliedIndex,
                applyPaused,
                snapshotRequested,
                next,
                resigned,
                safeguards);
    }

    ConsensusState withResigned() {
        return new ConsensusState(
                self,
                hardState,
                log,
                persistQueue,
                role,
                electionTimer,
                commitIndex,
                appliedIndex,
                applyPaused,
                snapshotRequested,
                recovery,
                true,
                safeguards);
    }

    ConsensusState withSafeguards(Safeguards next) {
        return new ConsensusState(
                self,
                hardState,
                log,
                persistQueue,
                role,
                electionTimer,
                commitIndex,
                appliedIndex,
                applyPaused,
                snapshotRequested,
                recovery,
                resigned,
                next);
    }

    private ConsensusState with(
            HardState nextHardState,
            ConsensusLog nextLog,
            PersistQueue nextPersistQueue,
            ConsensusRole nextRole,
            ElectionTimer nextElectionTimer) {
        return new ConsensusState(
                self,
                nextHardState,
                nextLog,
                nextPersistQueue,
                nextRole,
                nextElectionTimer,
                commitIndex,
                appliedIndex,
                applyPaused,
                snapshotRequested,
                recovery,
                resigned,
                safeguards);
    }
}
