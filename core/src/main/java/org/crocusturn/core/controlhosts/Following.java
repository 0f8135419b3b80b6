package org.crocusturn.core.controlhosts;

import java.util.List;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;

/** Handles append requests and snapshots that a follower receives from its leader. */
final class Following {
    /** Match index that a member without a log replies, so that the leader sends a snapshot. */
    static final long BLANK_INDEX = -1;

    private Following() {}

    /** Handles an append request or heartbeat. */
    static Decision<ConsensusState, ConsensusAction> append(
            ConsensusState state,
            HostId from,
            ConsensusMessage.AppendRequest request,
            long nowNanos) {
        if (request.term() < state.term()) {
            return Decision.of(state.withHeld(from, reply(state, false, 0, request.round())));
        }
        return Consensus.chain(
                accept(state, request.term(), request.leader(), nowNanos),
                next -> take(next, from, request));
    }

    /** Installs a snapshot from the leader. */
    static Decision<ConsensusState, ConsensusAction> install(
            ConsensusState state,
            HostId from,
            ConsensusMessage.InstallSnapshot install,
            long nowNanos) {
        if (install.term() < state.term()) {
            return Decision.of(state.withHeld(from, reply(state, false, 0, install.round())));
        }
        long index = install.snapshot().position().index();
        return Consensus.chain(
                accept(state, install.term(), install.leader(), nowNanos),
                next -> {
                    Decision<ConsensusState, ConsensusAction> taken =
                            index > next.commitIndex() || next.log().blank()
                                    ? replace(next, install.snapshot())
                                    : Decision.of(next);
                    ConsensusMessage reply =
                            new ConsensusMessage.SnapshotReply(next.term(), index, install.round());
                    return Consensus.chain(taken, done -> Decision.of(done.withHeld(from, reply)));
                });
    }

    /** Adopts the leader of a term; a leader or candidate of an older term becomes a follower. */
    private static Decision<ConsensusState, ConsensusAction> accept(
            ConsensusState state, long term, HostId leader, long nowNanos) {
        if (state.leading().isPresent() && term == state.term()) {
            throw new IllegalStateException(
                    "host "
                            + leader
                            + " claims to lead term "
                            + term
                            + ", which is led by this host, "
                            + state.self());
        }
        return Consensus.chain(
                Elections.retire(state, nowNanos),
                next ->
                        Decision.of(
                                next.withHard(next.hard().withTerm(term).withVote(leader))
                                        .withTiming(next.timing().withHeard(leader, nowNanos))));
    }

    private static Decision<ConsensusState, ConsensusAction> take(
            ConsensusState state, HostId from, ConsensusMessage.AppendRequest request) {
        ConsensusState asked = Recoveries.ask(state, from);
        ConsensusLog log = state.log();
        long previous = request.previous().index();
        boolean covered = previous < log.baseIndex();
        if (log.blank()) {
            return Decision.of(
                    asked.withHeld(from, reply(state, false, BLANK_INDEX, request.round())));
        }
        if (!covered && log.termAt(previous) != request.previous().term()) {
            return Decision.of(
                    asked.withHeld(
                            from,
                            reply(state, false, retryIndex(state, previous), request.round())));
        }
        ConsensusState taken = merge(asked, request.entries());
        long matched = previous + request.entries().size();
        ConsensusState known = taken.withCommit(Math.min(request.commitIndex(), matched));
        return Decision.of(answer(state, known, from, matched, request.round()));
    }

    /**
     * Queues the reply; it is sent at once if the request changed nothing durable, so that a slow
     * disk does not cost the leader its lease.
     */
    private static ConsensusState answer(
            ConsensusState before, ConsensusState after, HostId from, long matched, long round) {
        boolean unchanged = before.log().equals(after.log());
        boolean hardSynced = after.persists().durableHard().equals(after.hard());
        long synced =
                unchanged && hardSynced
                        ? Math.min(matched, after.persists().durableIndex())
                        : matched;
        ConsensusMessage reply = reply(after, true, synced, round);
        return unchanged && hardSynced
                ? after.withPersists(after.persists().withUnconditional(from, reply))
                : after.withHeld(from, reply);
    }

    private static ConsensusState merge(ConsensusState state, List<LogEntry> entries) {
        ConsensusLog log = state.log();
        int first = 0;
        while (first < entries.size() && holds(log, entries.get(first))) {
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

    private static boolean holds(ConsensusLog log, LogEntry entry) {
        long index = entry.position().index();
        return index <= log.baseIndex() || log.termAt(index) == entry.position().term();
    }

    private static long retryIndex(ConsensusState state, long previous) {
        ConsensusLog log = state.log();
        return previous > log.lastIndex()
                ? log.lastIndex()
                : Math.max(state.commitIndex(), log.firstOfTerm(previous) - 1);
    }

    private static Decision<ConsensusState, ConsensusAction> replace(
            ConsensusState state, Snapshot snapshot) {
        long index = snapshot.position().index();
        return Decision.of(
                state.withLog(state.log().withSnapshot(snapshot)).withIndexes(index, index, false),
                new ConsensusAction.Restore(snapshot));
    }

    private static ConsensusMessage reply(
            ConsensusState state, boolean success, long index, long round) {
        return new ConsensusMessage.AppendReply(
                state.term(), success, index, round, state.hard().recovering());
    }
}
