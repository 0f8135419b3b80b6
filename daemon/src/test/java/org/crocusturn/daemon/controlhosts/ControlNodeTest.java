package org.crocusturn.daemon.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.MembershipChange;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against members that do not agree when they run with real files, threads and clocks. */
class ControlNodeTest {
    private static final long DEADLINE_NANOS = Duration.ofSeconds(30).toNanos();
    private static final List<HostId> HOSTS = Stream.of("c1", "c2", "c3").map(HostId::of).toList();
    private static final HostId FOURTH = HostId.of("c4");
    private static final Membership INITIAL_MEMBERS =
            new Membership(HOSTS.stream().map(h -> new Member(h, "127.0.0.1:1", true)).toList());

    private final Map<HostId, ControlNode> mNodes = new ConcurrentHashMap<>();
    private final Map<HostId, RecordingListener> mListeners = new ConcurrentHashMap<>();
    private final Map<Long, ControlCommand> mCommitted = new TreeMap<>();

    @TempDir Path mFolder;

    @AfterEach
    void closeAll() {
        mNodes.values().forEach(ControlNode::close);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 2_300})
    void appliesTheSameCommandsEverywhereAndAfterRestart(int commands) {
        HOSTS.forEach(host -> start(host, Optional.of(INITIAL_MEMBERS)));
        commit(commands);
        awaitAllApplied();
        mNodes.values().forEach(ControlNode::close);
        HOSTS.forEach(host -> start(host, Optional.empty()));
        commit(1);
        awaitAllApplied();
    }

    @Test
    void transfersLeadershipOnStop() {
        HOSTS.forEach(host -> start(host, Optional.of(INITIAL_MEMBERS)));
        commit(5);
        HostId leader = leader();
        long started = System.nanoTime();
        mNodes.remove(leader).stop();
        assertTrue(!leader().equals(leader), "another host leads");
        assertTrue(
                System.nanoTime() - started < DEADLINE_NANOS, "leadership moves before the limit");
        commit(5);
    }

    /**
     * Guards against a recovered member that does not count towards the majority: the loss of a
     * second host would then stop the group.
     */
    @Test
    void recoveredMemberCountsTowardsMajority() throws IOException {
        HOSTS.forEach(host -> start(host, Optional.of(INITIAL_MEMBERS)));
        commit(10);
        HostId lost = HOSTS.stream().filter(h -> !h.equals(leader())).findFirst().orElseThrow();
        mNodes.remove(lost).close();
        commit(10);
        FileLogStorageTest.deleteAll(mFolder.resolve(lost.value()));
        start(lost, Optional.empty());
        await(() -> !mNodes.get(lost).state().hardState().recovering(), "recovery ends");
        mNodes.remove(leader()).close();
        commit(10);
        awaitAllApplied();
    }

    @Test
    void replacesAMember() {
        HOSTS.forEach(host -> start(host, Optional.of(INITIAL_MEMBERS)));
        commit(10);
        start(FOURTH, Optional.empty());
        commitChange(new MembershipChange.AddLearner(FOURTH, "127.0.0.1:1"));
        commitChange(new MembershipChange.Promote(FOURTH));
        HostId removed = leader();
        commitChange(new MembershipChange.Remove(removed));
        mNodes.remove(removed).close();
        commit(10);
        awaitAllApplied();
        assertEquals(3, mNodes.get(leader()).state().membership().voters().size());
    }

    @Test
    void rejectsAProposalWithoutALeader() {
        start(HOSTS.get(0), Optional.of(INITIAL_MEMBERS));
        ProposalResult result =
                mNodes.get(HOSTS.get(0)).propose(command(1)).orTimeout(30, TimeUnit.SECONDS).join();
        assertInstanceOf(ProposalResult.Rejected.class, result);
    }

    private void start(HostId host, Optional<Membership> bootstrapMembers) {
        RecordingListener recorder = new RecordingListener();
        mListeners.put(host, recorder);
        mNodes.put(
                host,
                ControlNode.start(
                        mFolder.resolve(host.value()),
                        host,
                        bootstrapMembers,
                        new FakeLogCodec(),
                        (to, message) -> sendMessage(host, to, message),
                        recorder));
    }

    private void sendMessage(HostId from, HostId to, ConsensusMessage message) {
        Optional.ofNullable(mNodes.get(to)).ifPresent(node -> node.onMessage(from, message));
    }

    private HostId leader() {
        await(() -> currentLeader().isPresent(), "a host leads");
        return currentLeader().orElseThrow();
    }

    private Optional<HostId> currentLeader() {
        return mNodes.entrySet().stream()
                .filter(e -> e.getValue().isLeaderLeaseValid())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private void commit(int commands) {
        IntStream.range(0, commands).forEach(n -> commitOne(n));
    }

    private void commitOne(int number) {
        ControlCommand command = command(number);
        await(
                () -> currentLeader().map(host -> tryCommit(host, command)).orElse(false),
                "a commit");
    }

    private boolean tryCommit(HostId host, ControlCommand command) {
        ProposalResult result =
                mNodes.get(host).propose(command).orTimeout(30, TimeUnit.SECONDS).join();
        if (result instanceof ProposalResult.Committed committed) {
            mCommitted.put(committed.index(), command);
        }
        return result instanceof ProposalResult.Committed;
    }

    private void commitChange(MembershipChange change) {
        await(
                () ->
                        mNodes.get(leader())
                                        .changeMembership(change)
                                        .orTimeout(30, TimeUnit.SECONDS)
                                        .join()
                                instanceof ProposalResult.Committed,
                change + " is committed");
    }

    /**
     * Waits until all running members have applied every command that was reported as committed.
     */
    private void awaitAllApplied() {
        for (HostId host : mNodes.keySet()) {
            RecordingListener recorder = mListeners.get(host);
            mCommitted.forEach(
                    (index, command) -> {
                        await(() -> recorder.mLastIndex >= index, host + " applies " + index);
                        if (index > recorder.mRestoredIndex) {
                            assertEquals(
                                    command, recorder.mCommands.get(index), host + " " + index);
                        }
                    });
        }
    }

    private static ControlCommand command(int number) {
        return new ControlCommand.RemoveEndpoint(EndpointId.of("e" + number));
    }

    private static void await(BooleanSupplier condition, String description) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() - start < DEADLINE_NANOS,
                    "timed out waiting until " + description);
            LockSupport.parkNanos(2_000_000);
        }
    }

    /** Records the applied commands and checks their order. */
    private static final class RecordingListener implements ConsensusListener {
        private final Map<Long, ControlCommand> mCommands = new ConcurrentSkipListMap<>();
        private volatile long mLastIndex;
        private volatile long mRestoredIndex;

        @Override
        public void onRestored(Snapshot snapshot) {
            mRestoredIndex = snapshot.position().index();
            mLastIndex = mRestoredIndex;
        }

        @Override
        public void onCommitted(long index, ControlCommand command) {
            assertTrue(index > mLastIndex, "index " + index + " after " + mLastIndex);
            mCommands.put(index, command);
            mLastIndex = index;
        }

        @Override
        public ControlState controlState() {
            return FakeLogCodec.state(mLastIndex);
        }

        @Override
        public void onLeadershipGained(long term) {}

        @Override
        public void onLeadershipLost(long term) {}

        @Override
        public void onMembershipChanged(Membership membership) {}

        @Override
        public void onFailure(RuntimeException failure) {
            throw new AssertionError("the member failed", failure);
        }
    }
}
