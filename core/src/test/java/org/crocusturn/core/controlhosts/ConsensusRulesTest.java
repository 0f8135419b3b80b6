package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.operators.ControlState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against violations of single rules that random schedules seldom exercise. */
class ConsensusRulesTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final HostId SELF = HostId.of("c1");
    private static final HostId OTHER = HostId.of("c2");
    private static final Membership MEMBERS =
            new Membership(
                    Stream.of("c1", "c2", "c3")
                            .map(name -> new Member(HostId.of(name), "127.0.0.1:1", true))
                            .toList());
    private static final Snapshot BASE =
            new Snapshot(LogPosition.ZERO, MEMBERS, ControlState.EMPTY);

    /**
     * Guards against the loss of a committed entry: another leader may replace an entry of an
     * earlier term even if a majority has it.
     */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 3"})
    void commitsOnlyEntriesOfCurrentTermByCounting(long matched, long committed) {
        ConsensusState leader = elect(restarted(entries(1, 2)), 1_000 * NANOS_PER_MILLI);
        assertEquals(3, leader.log().lastIndex(), "two old entries and the empty one");
        ConsensusMessage reply =
                new ConsensusMessage.AppendReply(
                        leader.term(), true, matched, 1_000 * NANOS_PER_MILLI, false);
        ConsensusState after = receive(leader, reply, 1_001 * NANOS_PER_MILLI);
        assertEquals(committed, after.commitIndex());
    }

    /**
     * Guards against a leader lease that is still valid when a member that acknowledged it may vote
     * for another host.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 0, false, true",
        "0, 269, false, true",
        "0, 270, false, false",
        "50, 319, false, true",
        "50, 320, false, false",
        "0, 0, true, false"
    })
    void holdsLeaseFromSendingOfAcknowledgedRounds(
            long sentMillis, long atMillis, boolean recovering, boolean valid) {
        long elected = 1_000 * NANOS_PER_MILLI;
        long sent = elected + sentMillis * NANOS_PER_MILLI;
        ConsensusState leader = elect(restarted(List.of()), elected);
        ConsensusState established =
                receive(
                        leader,
                        appendReply(leader, elected - 1_000 * NANOS_PER_MILLI, false),
                        elected);
        ConsensusState renewed = receive(established, appendReply(leader, sent, recovering), sent);
        assertEquals(
                valid, Consensus.isLeaderLeaseValid(renewed, elected + atMillis * NANOS_PER_MILLI));
    }

    /**
     * Guards against a second leader with a lease, elected by votes granted too soon after a
     * message from the first leader.
     */
    @ParameterizedTest
    @CsvSource({
        "299, false, false, false",
        "300, false, false, true",
        "299, true, false, true",
        "299, false, true, false",
        "300, false, true, true"
    })
    void refusesVotesAfterLeaderContact(
            long afterMillis, boolean transfer, boolean preVote, boolean granted) {
        ConsensusState heard =
                receive(
                        restarted(List.of()),
                        new ConsensusMessage.AppendRequest(
                                1, OTHER, LogPosition.ZERO, List.of(), 0, 0),
                        1_000 * NANOS_PER_MILLI);
        ConsensusMessage request =
                new ConsensusMessage.VoteRequest(
                        2, HostId.of("c3"), LogPosition.ZERO, preVote, transfer);
        Decision<ConsensusState, ConsensusAction> decision =
                step(
                        heard,
                        new ConsensusInput.Received(HostId.of("c3"), request),
                        (1_000 + afterMillis) * NANOS_PER_MILLI);
        assertEquals(List.of(granted), grants(decision));
    }

    /**
     * Guards against a vote by a restarted member that acknowledged a leader just before it
     * stopped.
     */
    @ParameterizedTest
    @CsvSource({"299, false", "300, true"})
    void refusesVotesAfterRestart(long afterMillis, boolean granted) {
        ConsensusMessage request =
                new ConsensusMessage.VoteRequest(2, OTHER, LogPosition.ZERO, false, false);
        Decision<ConsensusState, ConsensusAction> decision =
                step(
                        restarted(List.of()),
                        new ConsensusInput.Received(OTHER, request),
                        afterMillis * NANOS_PER_MILLI);
        assertEquals(List.of(granted), grants(decision));
    }

    /**
     * Guards against a lease that outlasts a transfer: members grant the votes that the target
     * requests without waiting for the lease to expire.
     */
    @ParameterizedTest
    @CsvSource({"false, true", "true, false"})
    void invalidatesLeaseDuringTransfer(boolean transfer, boolean valid) {
        long now = 1_000 * NANOS_PER_MILLI;
        ConsensusState leader = elect(restarted(List.of()), now);
        ConsensusState established = receive(leader, appendReply(leader, now, false), now);
        ConsensusInput input =
                transfer ? new ConsensusInput.TransferRequested() : new ConsensusInput.Tick();
        assertEquals(
                valid, Consensus.isLeaderLeaseValid(step(established, input, now).state(), now));
    }

    /** Guards against a recovery on an uncommitted barrier or one of an earlier start or term. */
    @ParameterizedTest
    @CsvSource({
        "7, 1, 2, 2, false",
        "8, 1, 2, 2, true",
        "7, 1, 2, 1, true",
        "7, 1, 3, 2, true",
        "7, 0, 2, 2, true"
    })
    void recoversOnlyAtCommittedBarrierOfCurrentStart(
            long nonce, long term, long barrier, long commit, boolean recovering) {
        ConsensusState blank =
                persisted(Decision.of(ConsensusState.recovering(SELF, 7, 0)).state(), 0);
        ConsensusState based =
                receive(
                        blank,
                        new ConsensusMessage.InstallSnapshot(1, OTHER, BASE, 0),
                        NANOS_PER_MILLI);
        ConsensusState asked =
                receive(
                        based,
                        new ConsensusMessage.RecoveryReply(
                                term, nonce, LogPosition.of(term, barrier)),
                        2 * NANOS_PER_MILLI);
        ConsensusState after =
                receive(
                        asked,
                        new ConsensusMessage.AppendRequest(
                                1, OTHER, LogPosition.ZERO, entries(1, 2), commit, 0),
                        3 * NANOS_PER_MILLI);
        assertEquals(recovering, after.hardState().recovering());
    }

    /**
     * Guards against counting the entries of a recovering member for a majority, also after a
     * delayed reply from before its loss.
     */
    @ParameterizedTest
    @CsvSource({"true, true, 0", "true, false, 0", "false, false, 1"})
    void ignoresEntriesOfRecoveringMember(boolean recovering, boolean lateReply, long committed) {
        ConsensusState leader = elect(restarted(List.of()), 1_000 * NANOS_PER_MILLI);
        ConsensusState after =
                receive(
                        leader,
                        new ConsensusMessage.AppendReply(
                                leader.term(), true, 1, 1_000 * NANOS_PER_MILLI, recovering),
                        1_001 * NANOS_PER_MILLI);
        if (lateReply) {
            after =
                    receive(
                            after,
                            new ConsensusMessage.AppendReply(
                                    leader.term(), false, 0, 1_000 * NANOS_PER_MILLI, false),
                            1_002 * NANOS_PER_MILLI);
        }
        assertEquals(committed, after.commitIndex());
    }

    private static ConsensusMessage appendReply(
            ConsensusState leader, long round, boolean recovering) {
        return new ConsensusMessage.AppendReply(
                leader.term(), true, leader.log().lastIndex(), round, recovering);
    }

    private static ConsensusState restarted(List<LogEntry> entries) {
        return ConsensusState.restarted(SELF, HardState.initial(false), BASE, entries, 1, 0);
    }

    private static List<LogEntry> entries(long from, long to) {
        return LongStream.rangeClosed(from, to)
                .mapToObj(
                        index ->
                                new LogEntry(
                                        LogPosition.of(1, index), new LogContent.EmptyContent()))
                .toList();
    }

    private static ConsensusState elect(ConsensusState follower, long nowNanos) {
        ConsensusState preCandidate = persisted(follower, nowNanos);
        ConsensusState candidate =
                receive(
                        preCandidate,
                        new ConsensusMessage.VoteReply(preCandidate.term() + 1, true, true),
                        nowNanos);
        return receive(
                candidate, new ConsensusMessage.VoteReply(candidate.term(), true, false), nowNanos);
    }

    private static ConsensusState receive(
            ConsensusState state, ConsensusMessage message, long nowNanos) {
        ConsensusInput input = new ConsensusInput.Received(OTHER, message);
        Decision<ConsensusState, ConsensusAction> decision = step(state, input, nowNanos);
        return confirmed(decision, nowNanos);
    }

    private static ConsensusState persisted(ConsensusState state, long nowNanos) {
        return confirmed(step(state, new ConsensusInput.Tick(), nowNanos), nowNanos);
    }

    private static ConsensusState confirmed(
            Decision<ConsensusState, ConsensusAction> decision, long nowNanos) {
        Optional<Long> sequence =
                decision.actions().stream()
                        .filter(ConsensusAction.Persist.class::isInstance)
                        .map(action -> ((ConsensusAction.Persist) action).sequence())
                        .reduce((first, second) -> second);
        return sequence.isEmpty()
                ? decision.state()
                : confirmed(
                        step(
                                decision.state(),
                                new ConsensusInput.Persisted(sequence.get()),
                                nowNanos),
                        nowNanos);
    }

    private static List<Boolean> grants(Decision<ConsensusState, ConsensusAction> decision) {
        ConsensusState state = decision.state();
        Stream<ConsensusAction> later =
                step(
                        state,
                        new ConsensusInput.Persisted(state.persistQueue().issuedSequence()),
                        2_000 * NANOS_PER_MILLI)
                        .actions()
                        .stream();
        return Stream.concat(decision.actions().stream(), later)
                .filter(ConsensusAction.Send.class::isInstance)
                .map(action -> ((ConsensusAction.Send) action).message())
                .filter(ConsensusMessage.VoteReply.class::isInstance)
                .map(message -> ((ConsensusMessage.VoteReply) message).granted())
                .toList();
    }

    private static Decision<ConsensusState, ConsensusAction> step(
            ConsensusState state, ConsensusInput input, long nowNanos) {
        return Consensus.step(state, input, nowNanos);
    }
}
