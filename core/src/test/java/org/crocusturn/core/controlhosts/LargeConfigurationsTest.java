package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.entryhosts.CommandHistory;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.SessionLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against control hosts that run out of memory after some hundred large configurations, and
 * again at each start, because their buffers were bounded by a number of entries only.
 */
class LargeConfigurationsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int CHANGES = 150;

    /** A sixth of the heap of a control host, so that no buffer alone can fill it. */
    private static final long MAX_BUFFER_BYTES = 16L << 20;

    private static final HostId SELF = HostId.of("c1");
    private static final HostId OTHER = HostId.of("c2");

    private final List<Long> mBatches = new ArrayList<>();
    private ConsensusState mState;
    private long mNowNanos = 1_000 * NANOS_PER_MILLI;
    private int mRejected;
    private ControlState mControl = ControlState.EMPTY;

    private static Membership members(int count) {
        return new Membership(
                IntStream.rangeClosed(1, count)
                        .mapToObj(n -> new Member(HostId.of("c" + n), "127.0.0.1:1", true))
                        .toList());
    }

    /** Returns a configuration with 79 KB of text and 350 routes. */
    private static Configuration configuration(long version, int routes) {
        return new Configuration(
                version,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Map.of(),
                List.of(),
                IntStream.range(0, routes).mapToObj(n -> route(version, n)).toList(),
                SessionLimits.DEFAULT,
                "x".repeat(226 * routes));
    }

    private static Route route(long version, int number) {
        return new Route(
                "r" + number,
                "idle" + version + "db" + number,
                "service",
                Consistency.OWN_WRITES,
                Duration.ofMillis(2_500),
                Duration.ofMillis(800 + number),
                Duration.ofMillis(200),
                2,
                false);
    }

    private static ControlCommand.ReplaceConfiguration command(long version, int routes) {
        return new ControlCommand.ReplaceConfiguration(
                "change-" + version, configuration(version, routes));
    }

    private void step(ConsensusInput input) {
        Decision<ConsensusState, ConsensusAction> decision =
                Consensus.step(mState, input, mNowNanos);
        mState = decision.state();
        decision.actions().forEach(this::perform);
    }

    private void perform(ConsensusAction action) {
        if (action instanceof ConsensusAction.Persist persist) {
            step(new ConsensusInput.Persisted(persist.sequence()));
        } else if (action instanceof ConsensusAction.TakeSnapshot take) {
            step(new ConsensusInput.SnapshotTaken(take.index(), mControl));
        } else if (action instanceof ConsensusAction.ProposalRejected) {
            mRejected++;
        } else if (action instanceof ConsensusAction.Send send
                && send.message() instanceof ConsensusMessage.AppendRequest request
                && request.entries().size() > 1) {
            mBatches.add(bytes(request.entries()));
        }
    }

    private static long bytes(List<LogEntry> entries) {
        return entries.stream().mapToLong(e -> e.content().approximateBytes()).sum();
    }

    private long logBytes() {
        return bytes(mState.log().entries());
    }

    /** Lets the member win an election; with several members another one grants its vote. */
    private void lead(int count) {
        mState = ConsensusState.bootstrapping(SELF, members(count), 1, 0);
        step(new ConsensusInput.Tick());
        if (count > 1) {
            reply(new ConsensusMessage.VoteReply(mState.term() + 1, true, true));
            reply(new ConsensusMessage.VoteReply(mState.term(), true, false));
            acknowledge();
        }
        assertTrue(mState.leaderRole().isPresent());
    }

    private void reply(ConsensusMessage message) {
        step(new ConsensusInput.Received(OTHER, message));
    }

    private void acknowledge() {
        reply(
                new ConsensusMessage.AppendReply(
                        mState.term(), true, mState.log().lastIndex(), mNowNanos, false));
    }

    /** Guards against a log in memory that holds each configuration until 1,000 entries. */
    @ParameterizedTest
    @CsvSource({"1, 350", "3, 350", "1, 700", "3, 1"})
    void boundsTheLogOfALeader(int members, int routes) {
        lead(members);
        long most = 0;
        for (int n = 1; n <= CHANGES; n++) {
            step(new ConsensusInput.Propose(n, command(n, routes)));
            if (members > 1) {
                acknowledge();
            }
            most = Math.max(most, logBytes());
        }
        assertEquals(0, mRejected);
        assertTrue(most <= MAX_BUFFER_BYTES, most + " bytes in the log");
        assertTrue(mState.log().entries().size() <= ConsensusTimings.SNAPSHOT_INTERVAL_ENTRIES);
    }

    /** The log that a member reads at its start is the one that it had when it ended. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void boundsTheLogOfAFollower(boolean restarts) {
        mState = ConsensusState.bootstrapping(SELF, members(3), 1, 0);
        long most = 0;
        for (int n = 1; n <= CHANGES; n++) {
            LogPosition previous = mState.log().lastPosition();
            LogEntry entry =
                    new LogEntry(
                            LogPosition.of(1, n),
                            new LogContent.CommandContent(n, command(n, 350)));
            reply(
                    new ConsensusMessage.AppendRequest(
                            1, OTHER, previous, List.of(entry), n - 1, mNowNanos));
            if (restarts && n % 40 == 0) {
                mState =
                        ConsensusState.restarted(
                                SELF,
                                mState.hardState(),
                                mState.log().base(),
                                mState.log().entries(),
                                1,
                                mNowNanos);
            }
            most = Math.max(most, logBytes());
        }
        assertTrue(most <= MAX_BUFFER_BYTES, most + " bytes in the log");
    }

    /** Guards against a leader without a majority that accepts changes until its heap is full. */
    @ParameterizedTest
    @ValueSource(ints = {350, 700})
    void boundsTheChangesThatWaitForAMajority(int routes) {
        lead(3);
        for (int n = 1; n <= CHANGES; n++) {
            step(new ConsensusInput.Propose(n, command(n, routes)));
        }
        assertTrue(logBytes() <= MAX_BUFFER_BYTES, logBytes() + " bytes wait");
        assertTrue(mRejected > 0);
    }

    /** Guards against a message of many large entries, which the link refuses as too large. */
    @ParameterizedTest
    @ValueSource(ints = {1, 350, 1_000, 3_000})
    void boundsAppendRequests(int routes) {
        lead(3);
        for (int n = 1; n <= 40; n++) {
            step(new ConsensusInput.Propose(n, command(n, routes)));
        }
        long first = mState.log().baseIndex() + 1;
        for (long index = first; index <= mState.log().lastIndex(); index++) {
            reply(new ConsensusMessage.AppendReply(mState.term(), false, index - 1, 0, false));
            mNowNanos += ConsensusTimings.HEARTBEAT_INTERVAL_NANOS;
            step(new ConsensusInput.Tick());
        }
        assertTrue(mBatches.stream().allMatch(b -> b <= MAX_BUFFER_BYTES), "batches: " + mBatches);
    }

    /** Guards against a leader that keeps each configuration for hosts that are behind. */
    @ParameterizedTest
    @CsvSource({"350, 150", "5000, 15", "0, 2000"})
    void boundsTheHistoryOfTheLeader(int routes, int changes) {
        CommandHistory history = CommandHistory.of(ControlState.EMPTY);
        for (int n = 1; n <= changes; n++) {
            ControlCommand.ReplaceConfiguration command =
                    command(n, n % 7 == 0 || routes == 0 ? 0 : routes);
            ControlState state =
                    ControlState.EMPTY
                            .withVersion(n)
                            .withConfiguration(command.configuration(), command.changeId());
            history = history.plus(n, command, state);
        }
        long bytes =
                history.commands().stream().mapToLong(c -> c.command().approximateBytes()).sum();
        assertEquals(bytes, history.commandBytes());
        assertTrue(bytes <= MAX_BUFFER_BYTES, bytes + " bytes");
        assertEquals(routes == 0, history.commands().size() == CommandHistory.MAX_COMMANDS);
        assertTrue(history.since(history.baseVersion()) instanceof StateUpdate.Changes);
        assertTrue(history.since(history.baseVersion() - 1) instanceof StateUpdate.Replacement);
    }

    /** Guards against sizes that miss most of what a configuration takes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 350, 5_000})
    void countsRoutesAndText(int routes) {
        long bytes = command(1, routes).approximateBytes();
        assertTrue(bytes >= 526L * routes && bytes <= 2_000L * routes, bytes + " bytes");
    }
}
