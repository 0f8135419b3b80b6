package org.crocusturn.daemon.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ConsensusAction;
import org.crocusturn.core.controlhosts.ConsensusInput;
import org.crocusturn.core.controlhosts.ConsensusState;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.ring.SteadyClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reads of a state that the listener has not applied yet. */
class ConsensusDutyTest {
    private static final HostId SELF = HostId.of("c1");
    private static final long ELECTION_LIMIT_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long POLL_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

    private final Queue<ConsensusAction.Persist> mPersists = new ArrayDeque<>();
    private final List<Long> mApplied = new ArrayList<>();
    private final List<Long> mVisibleTooEarly = new ArrayList<>();
    private ConsensusDuty mDuty;

    /** Notes the commands that count as applied before they are. */
    private final class CheckingListener implements ConsensusListener {
        @Override
        public void onRestored(Snapshot snapshot) {}

        @Override
        public void onCommitted(long index, ControlCommand command) {
            if (mDuty.state().appliedIndex() >= index) {
                mVisibleTooEarly.add(index);
            }
            mApplied.add(index);
        }

        @Override
        public ControlState controlState() {
            return ControlState.EMPTY;
        }

        @Override
        public void onLeadershipGained(long term) {}

        @Override
        public void onLeadershipLost(long term) {}

        @Override
        public void onMembershipChanged(Membership membership) {}

        @Override
        public void onFailure(RuntimeException failure) {
            throw failure;
        }
    }

    private void confirmPersists() {
        while (!mPersists.isEmpty()) {
            mDuty.onEvent(
                    new ConsensusEvent.Input(
                            new ConsensusInput.Persisted(mPersists.remove().sequence())));
        }
    }

    private void awaitLeadership() {
        mDuty.onEvent(new ConsensusEvent.Started());
        long deadline = SteadyClock.nanoTime() + ELECTION_LIMIT_NANOS;
        while (mDuty.state().leaderRole().isEmpty() && SteadyClock.nanoTime() - deadline < 0) {
            mDuty.onTimer(SteadyClock.nanoTime());
            confirmPersists();
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    /**
     * A configuration that was acknowledged came back older from a leader that still applied it.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 20})
    void showsEntriesAsAppliedOnlyAfterTheListenerHasAppliedThem(int commands) {
        Membership members = new Membership(List.of(new Member(SELF, "127.0.0.1:1", true)));
        mDuty =
                ConsensusDuty.create(
                        ConsensusState.bootstrapping(SELF, members, 1, SteadyClock.nanoTime()),
                        (to, message) -> {},
                        new CheckingListener(),
                        mPersists::add,
                        (id, result) -> {},
                        () -> {});
        awaitLeadership();
        LongStream.rangeClosed(1, commands)
                .mapToObj(
                        n ->
                                new ConsensusInput.Propose(
                                        n, new ControlCommand.RemoveEndpoint(EndpointId.of("e"))))
                .forEach(input -> mDuty.onEvent(new ConsensusEvent.Input(input)));
        confirmPersists();
        assertEquals(commands, mApplied.size(), "all commands are applied");
        assertEquals(List.of(), mVisibleTooEarly);
    }
}
