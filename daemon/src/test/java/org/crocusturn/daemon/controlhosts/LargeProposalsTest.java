package org.crocusturn.daemon.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.ring.HeapShare;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against large proposals and messages that fill the heap while the consensus duty is busy,
 * because its ring limited only their number.
 */
class LargeProposalsTest {
    private static final HostId SELF = HostId.of("c1");
    private static final long DEADLINE_NANOS = Duration.ofSeconds(30).toNanos();
    private static final long POLL_INTERVAL_NANOS = Duration.ofMillis(5).toNanos();

    private final CountDownLatch mBusy = new CountDownLatch(1);
    private final CountDownLatch mRelease = new CountDownLatch(1);

    @TempDir Path mFolder;

    /** Keeps the consensus duty busy with the first command. */
    private final class BlockingListener implements ConsensusListener {
        @Override
        public void onRestored(Snapshot snapshot) {}

        @Override
        public void onCommitted(long index, ControlCommand command) {
            mBusy.countDown();
            try {
                mRelease.await(DEADLINE_NANOS, TimeUnit.NANOSECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
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
        public void onFailure(RuntimeException failure) {}
    }

    private static void await(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean() && System.nanoTime() - start < DEADLINE_NANOS) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        assertTrue(condition.getAsBoolean());
    }

    @ParameterizedTest
    @CsvSource({"4194304, 200", "524288, 1600"})
    void refusesProposalsThatDoNotFitInAShareOfTheHeap(int length, int count)
            throws InterruptedException {
        Membership members = new Membership(List.of(new Member(SELF, "127.0.0.1:1", true)));
        try (ControlNode node =
                ControlNode.start(
                        mFolder,
                        SELF,
                        Optional.of(members),
                        ProtobufLogCodec.create(),
                        (to, message) -> {},
                        new BlockingListener())) {
            await(node::isLeaderLeaseValid);
            node.propose(new ControlCommand.RemoveEndpoint(EndpointId.of("e")));
            mBusy.await(DEADLINE_NANOS, TimeUnit.NANOSECONDS);
            ControlCommand command = LargeChange.of(1, length);
            List<CompletableFuture<ProposalResult>> results =
                    IntStream.range(0, count).mapToObj(n -> node.propose(command)).toList();
            long waiting = results.stream().filter(r -> !r.isDone()).count();
            assertEquals(
                    HeapShare.SIXTEENTH.bytes() / command.approximateBytes(),
                    waiting,
                    "proposals that wait");
            assertTrue(
                    results.stream()
                            .filter(CompletableFuture::isDone)
                            .allMatch(r -> r.join() instanceof ProposalResult.Rejected));
            mRelease.countDown();
            await(() -> results.stream().allMatch(CompletableFuture::isDone));
        }
    }
}
