package org.crocusturn.core.controlhosts;

import java.util.List;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;

/** Handles append requests and snapshots that a follower receives from its leader. */
final class FollowerReplication {
    /** Match index that a member without a log replies, so that the leader sends a snapshot. */
    static final long NO_LOG_INDEX = -1;

    private FollowerReplication() {}

    /** Handles an append request or heartbeat. */
    static Decision<ConsensusState, ConsensusAction> onAppendRequest(
            ConsensusState state,
            HostId from,
            ConsensusMessage.AppendRequest request,
            long nowNanos) {
        if (request.term() < state.term()) {
            return Decision.of(
                    state.withDeferred(from, appendReply(state, false, 0, request.round())));
        }
        return Consensus.chain(
                acceptLeader(state, request.term(), request.leader(), nowNanos),
                next -> appendEntries(next, from, request));
    }

    /** Installs a snapshot from the leader. */
    static Decision<ConsensusState, ConsensusAction> onInstallSnapshot(
            ConsensusState state,
            HostId from,
            ConsensusMessage.InstallSnapshot install,
            long nowNanos) {
        if (install.term() < state.term()) {
            return Decision.of(
                    state.withDeferred(from, appendReply(state, false, 0, install.round())));
        }
        long index = install.snapshot().position().index();
        return Consensus.chain(
                acceptLeader(state, install.term(), install.leader(), nowNanos),
                next -> {
                    Decision<ConsensusState, ConsensusAction> installed =
                            index > next.commitIndex() || next.log().isUninitialized()
                                    ? restoreSnapshot(next, install.snapshot())
                                    : Decision.of(next);
                    ConsensusMessage reply =
                            new ConsensusMessage.SnapshotReply(next.term(), index, install.round());
                    return Consensus.chain(
                            installed, done -> Decision.of(done.withDeferred(from, reply)));
                });
    }

    /** Adopts the leader of a term; a leader or candidate of an older term becomes a follower. */
    private static Decision<ConsensusState, ConsensusAction> acceptLeader(
            ConsensusState state, long term, HostId leader, long nowNanos) {
        if (state.leaderRole().isPresent() && term == state.term()) {
            throw new IllegalStateException(
                    "host "
                            + leader
                            + " claims to lead term "
                            + term
                            + ", which host "
                            + state.self()
                            + " leads");
        }
        return Consensus.chain(
                Elections.stepDown(state, nowNanos),
                next ->
                        Decision.of(
                                next.withHardState(next.hardState().withTerm(term).withVote(leader))
                                        .withElectionTimer(
                                                next.electionTimer()
                                                        .withContact(leader, nowNanos))));
    }

    private static Decision<ConsensusState, ConsensusAction> appendEntries(
            ConsensusState state, HostId from, ConsensusMessage.AppendRequest request) {
        ConsensusState requested = Recoveries.requestBarrier(state, from);
        ConsensusLog log = state.log();
        long previous = request.previous().index();
        boolean covered = previous < log.baseIndex();
        if (log.isUninitialized()) {
            return Decision.of(
                    requested.withDeferred(
                            from, appendReply(state, false, NO_LOG_INDEX, request.round())));
        }
        if (!covered && log.termAt(previous) != request.previous().term()) {
            return Decision.of(
                    requested.withDeferred(
                            from,
                            appendReply(
                                    state, false, retryIndex(state, previous), request.round())));
        }
        ConsensusState merged = mergeEntries(requested, request.entries());
        long matched = previous + request.entries().size();
        ConsensusState committed = merged.withCommit(Math.min(request.commitIndex(), matched));
        return Decision.of(withReply(state, committed, from, matched, request.round()));
    }

    /**
     * Queues the reply; it is sent at once if the request changed nothing durable, so that a slow
     * disk does not cost the leader its lease.
     */
    private static ConsensusState withReply(
            ConsensusState before, ConsensusState after, HostId from, long matched, long round) {
        boolean unchanged = before.log().equals(after.log());
        boolean hardStateSynced = after.persistQueue().durableHardState().equals(after.hardState());
        long synced =
                unchanged && hardStateSynced
                        ? Math.min(matched, after.persistQueue().durableIndex())
                        : matched;
        ConsensusMessage reply = appendReply(after, true, synced, round);
        return unchanged && hardStateSynced
                ? after.withPersistQueue(after.persistQueue().withImmediate(from, reply))
                : after.withDeferred(from, reply);
    }

    private static ConsensusState mergeEntries(ConsensusState state, List<LogEntry> entries) {
        ConsensusLog log = state.log();
        int first = 0;
        while (first < entries.size() && containsEntry(log, entries.get(first))) {
            first++;
        }
        if (first == entries.size()) {
            return state;
        }
        long index = entries.get(first).position().index();
        if (index <= state.commitIndex()) {
            throw new IllegalStateException(
                    "entry " + entries.get(first).position() + " conflicts with a committed entry");
        }
        return state.withLog(log.withSuffix(index, entries.subList(first, entries.size())));
    }

    private static boolean containsEntry(ConsensusLog log, LogEntry entry) {
        long index = entry.position().index();
        return index <= log.baseIndex() || log.termAt(index) == entry.position().term();
    }

    private static long retryIndex(ConsensusState state, long previous) {
        ConsensusLog log = state.log();
        return previous > log.lastIndex()
                ? log.lastIndex()
                : Math.max(state.commitIndex(), log.firstIndexOfTerm(previous) - 1);
    }

    private static Decision<ConsensusState, ConsensusAction> restoreSnapshot(
            ConsensusState state, Snapshot snapshot) {
        long index = snapshot.position().index();
        return Decision.of(
                state.withLog(state.log().withSnapshot(snapshot)).withIndexes(index, index, false),
                new ConsensusAction.Restore(snapshot));
    }

    private static ConsensusMessage appendReply(
            ConsensusState state, boolean success, long index, long round) {
        return new ConsensusMessage.AppendReply(
                state.term(),
                success,
                index,
                round,
                state.hardState().recovering() || state.resigned());
    }
}
