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
 * @param self own host
 * @param hard term, vote and recovery flag
 * @param log snapshot and entries
 * @param persists unconfirmed persists and the messages that wait for them
 * @param role role of the member in its term
 * @param timing known leader, last contact with it and election timeout
 * @param commitIndex last index known to be committed
 * @param appliedIndex last index whose entry was handed to the caller
 * @param snapshotAsked whether a snapshot was requested and not delivered yet
 * @param recovery recovery from a lost disk, used only while the hard state says so
 * @param safeguards safety rules in force
 */
public record ConsensusState(
        HostId self,
        HardState hard,
        ConsensusLog log,
        PersistQueue persists,
        ConsensusRole role,
        Timing timing,
        long commitIndex,
        long appliedIndex,
        boolean snapshotAsked,
        Recovery recovery,
        Safeguards safeguards) {
    /** Checks that no part is null. */
    public ConsensusState {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(hard, "hard");
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(persists, "persists");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(recovery, "recovery");
        Objects.requireNonNull(safeguards, "safeguards");
    }

    /**
     * The known leader and the election timeout of a member.
     *
     * @param leader current leader, if known
     * @param heardNanos time of the last message from a leader, or of the start of the member
     * @param deadlineNanos time at which the election timeout expires
     * @param seed seed of the next election timeout
     */
    public record Timing(Optional<HostId> leader, long heardNanos, long deadlineNanos, long seed) {
        Timing withHeard(HostId host, long nowNanos) {
            return new Timing(Optional.of(host), nowNanos, deadlineNanos, seed)
                    .withTimeout(nowNanos);
        }

        Timing withoutLeader() {
            return new Timing(Optional.empty(), heardNanos, deadlineNanos, seed);
        }

        Timing withTimeout(long nowNanos) {
            SplittableRandom random = new SplittableRandom(seed);
            long timeout =
                    random.nextLong(
                            ConsensusTimings.ELECTION_MIN_NANOS,
                            ConsensusTimings.ELECTION_MAX_NANOS);
            return new Timing(leader, heardNanos, nowNanos + timeout, random.nextLong());
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
            HardState hard,
            Snapshot base,
            List<LogEntry> entries,
            long seed,
            long nowNanos) {
        ConsensusLog log = ConsensusLog.saved(base, entries);
        HardState known = hard.withTerm(log.last().term());
        return create(
                self, known, log, PersistQueue.create(known, log.lastIndex()), seed, nowNanos);
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
        HardState hard = HardState.initial(recovering);
        PersistQueue persists = PersistQueue.create(hard, 0);
        return create(self, hard, ConsensusLog.unsaved(base), persists, seed, nowNanos);
    }

    private static ConsensusState create(
            HostId self,
            HardState hard,
            ConsensusLog log,
            PersistQueue persists,
            long seed,
            long nowNanos) {
        // The last contact with a leader is not stored, so a restarted member assumes that it was
        // now, and refuses votes for the shortest election timeout.
        Timing timing = new Timing(Optional.empty(), nowNanos, nowNanos, seed);
        return new ConsensusState(
                self,
                hard,
                log,
                persists,
                new ConsensusRole.Follower(),
                timing.withTimeout(nowNanos),
                log.baseIndex(),
                log.baseIndex(),
                false,
                new Recovery(seed, Optional.empty()),
                Safeguards.ALL);
    }

    /** Returns the current term. */
    public long term() {
        return hard.term();
    }

    /** Returns the leader that this member knows of, if any. */
    public Optional<HostId> leaderHint() {
        return timing.leader();
    }

    /** Returns the membership in force. */
    public Membership membership() {
        return log.membership();
    }

    /** Returns the leader role if this member is the leader. */
    public Optional<ConsensusRole.Leader> leading() {
        return role instanceof ConsensusRole.Leader leader ? Optional.of(leader) : Optional.empty();
    }

    /** Returns whether this member is a voter in the membership in force. */
    public boolean voter() {
        return membership().member(self).filter(Member::voter).isPresent();
    }

    ConsensusState withHard(HardState next) {
        return with(next, log, persists, role, timing);
    }

    ConsensusState withLog(ConsensusLog next) {
        return with(hard, next, persists, role, timing);
    }

    ConsensusState withPersists(PersistQueue next) {
        return with(hard, log, next, role, timing);
    }

    ConsensusState withRole(ConsensusRole next) {
        return with(hard, log, persists, next, timing);
    }

    ConsensusState withTiming(Timing next) {
        return with(hard, log, persists, role, next);
    }

    ConsensusState withHeld(HostId to, ConsensusMessage message) {
        return withPersists(persists.withHeld(to, message));
    }

    ConsensusState withIndexes(long commit, long applied, boolean asked) {
        return new ConsensusState(
                self,
                hard,
                log,
                persists,
                role,
                timing,
                commit,
                applied,
                asked,
                recovery,
                safeguards);
    }

    ConsensusState withCommit(long commit) {
        return withIndexes(Math.max(commitIndex, commit), appliedIndex, snapshotAsked);
    }

    ConsensusState withRecovery(Recovery next) {
        return new ConsensusState(
                self,
                hard,
                log,
                persists,
                role,
                timing,
                commitIndex,
                appliedIndex,
                snapshotAsked,
                next,
                safeguards);
    }

    ConsensusState withSafeguards(Safeguards next) {
        return new ConsensusState(
                self,
                hard,
                log,
                persists,
                role,
                timing,
                commitIndex,
                appliedIndex,
                snapshotAsked,
                recovery,
                next);
    }

    private ConsensusState with(
            HardState nextHard,
            ConsensusLog nextLog,
            PersistQueue nextPersists,
            ConsensusRole nextRole,
            Timing nextTiming) {
        return new ConsensusState(
                self,
                nextHard,
                nextLog,
                nextPersists,
                nextRole,
                nextTiming,
                commitIndex,
                appliedIndex,
                snapshotAsked,
                recovery,
                safeguards);
    }
}
