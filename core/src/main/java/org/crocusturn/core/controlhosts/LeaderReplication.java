package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;

/** Sends entries, heartbeats and snapshots of a leader and tracks the progress of its members. */
final class LeaderReplication {
    private LeaderReplication() {}

    /** Sends due heartbeats; a leader without contact to a majority steps down. */
    static Decision<ConsensusState, ConsensusAction> tick(ConsensusState state, long nowNanos) {
        ConsensusRole.Leader leader = state.leaderRole().orElseThrow();
        if (isAbandoned(state, leader, nowNanos)) {
            return Elections.stepDown(state, nowNanos);
        }
        if (nowNanos - leader.heartbeatNanos() < 0) {
            return Decision.of(state);
        }
        ConsensusState next =
                state.withRole(
                        leader.withHeartbeat(nowNanos + ConsensusTimings.HEARTBEAT_INTERVAL_NANOS));
        return sendAll(next, (host, progress) -> true, nowNanos);
    }

    /**
     * Returns whether no majority has answered for so long that another leader is likely.
     *
     * <p>What counts is when answers arrived. While the processes of all members start, heartbeats
     * and answers wait in paused processes, and a leader that was established by an answer to a
     * request of 600 ms ago stepped down at its next heartbeat, although all members followed it.
     */
    private static boolean isAbandoned(
            ConsensusState state, ConsensusRole.Leader leader, long nowNanos) {
        long heard =
                Math.max(
                        leader.electedNanos(),
                        LeaderQuorum.lastHeardNanos(state, leader, nowNanos));
        return nowNanos - heard > ConsensusTimings.MAX_ELECTION_TIMEOUT_NANOS;
    }

    /** Sends new entries to the members that have not been sent them yet. */
    static Decision<ConsensusState, ConsensusAction> sendUnsentEntries(
            ConsensusState state, long nowNanos) {
        return state.leaderRole().isEmpty()
                ? Decision.of(state)
                : sendAll(state, (host, progress) -> hasUnsentEntries(state, progress), nowNanos);
    }

    /** Updates the progress of a member from its reply to an append request. */
    static Decision<ConsensusState, ConsensusAction> onAppendReply(
            ConsensusState state, HostId from, ConsensusMessage.AppendReply reply, long nowNanos) {
        if (reply.term() > state.term()) {
            return Elections.adoptTerm(state, reply.term(), nowNanos);
        }
        return Decision.of(
                update(
                        state,
                        from,
                        reply.term(),
                        progress -> progressAfterReply(progress, reply, state, nowNanos)));
    }

    /** Updates the progress of a member that has synced a snapshot. */
    static Decision<ConsensusState, ConsensusAction> onSnapshotReply(
            ConsensusState state,
            HostId from,
            ConsensusMessage.SnapshotReply reply,
            long nowNanos) {
        if (reply.term() > state.term()) {
            return Elections.adoptTerm(state, reply.term(), nowNanos);
        }
        return Decision.of(
                update(
                        state,
                        from,
                        reply.term(),
                        progress -> progress.withMatch(reply.lastIndex())));
    }

    private static Progress progressAfterReply(
            Progress progress,
            ConsensusMessage.AppendReply reply,
            ConsensusState state,
            long nowNanos) {
        if (reply.recovering()) {
            return progress.withRecovering(reply.success(), reply.matchIndex());
        }
        // The round of a request is its sending time, from which the lease counts.
        Progress acked = progress.withAck(Math.min(reply.round(), nowNanos), nowNanos);
        return reply.success()
                ? acked.withMatch(Math.min(reply.matchIndex(), state.log().lastIndex()))
                : acked.withRetry(reply.matchIndex());
    }

    private static ConsensusState update(
            ConsensusState state, HostId from, long term, UnaryOperator<Progress> change) {
        return Consensus.leaderInTerm(state, term)
                .filter(leader -> leader.progress().containsKey(from))
                .map(
                        leader ->
                                state.withRole(
                                        leader.withProgress(
                                                from, change.apply(leader.progress().get(from)))))
                .orElse(state);
    }

    private static boolean hasUnsentEntries(ConsensusState state, Progress progress) {
        return progress.nextIndex() > state.log().baseIndex()
                && progress.nextIndex() <= state.log().lastIndex();
    }

    private static Decision<ConsensusState, ConsensusAction> sendAll(
            ConsensusState state, BiFunction<HostId, Progress, Boolean> filter, long nowNanos) {
        ConsensusRole.Leader leader = state.leaderRole().orElseThrow();
        List<ConsensusAction> sends = new ArrayList<>();
        for (Map.Entry<HostId, Progress> e : new TreeMap<>(leader.progress()).entrySet()) {
            if (filter.apply(e.getKey(), e.getValue())) {
                ConsensusMessage message = nextMessage(state, e.getValue(), nowNanos);
                sends.add(new ConsensusAction.Send(e.getKey(), message));
                leader =
                        leader.withProgress(
                                e.getKey(), progressAfterSend(e.getValue(), message, nowNanos));
            }
        }
        return new Decision<>(state.withRole(leader), sends);
    }

    private static ConsensusMessage nextMessage(
            ConsensusState state, Progress progress, long nowNanos) {
        ConsensusLog log = state.log();
        boolean behind = progress.nextIndex() <= log.baseIndex();
        if (behind
                && nowNanos - progress.snapshotSentNanos()
                        >= ConsensusTimings.SNAPSHOT_RETRY_INTERVAL_NANOS) {
            return new ConsensusMessage.InstallSnapshot(
                    state.term(), state.self(), log.base(), nowNanos);
        }
        List<LogEntry> entries =
                behind
                        ? List.of()
                        : log.entriesFrom(
                                progress.nextIndex(),
                                ConsensusTimings.MAX_BATCH_ENTRIES,
                                ConsensusTimings.MAX_BATCH_BYTES);
        long previous = behind ? log.baseIndex() : progress.nextIndex() - 1;
        return new ConsensusMessage.AppendRequest(
                state.term(),
                state.self(),
                LogPosition.of(log.termAt(previous), previous),
                entries,
                state.commitIndex(),
                nowNanos);
    }

    private static Progress progressAfterSend(
            Progress progress, ConsensusMessage message, long nowNanos) {
        return message instanceof ConsensusMessage.AppendRequest append
                ? progress.withNext(progress.nextIndex() + append.entries().size())
                : progress.withSnapshotSent(nowNanos);
    }
}
