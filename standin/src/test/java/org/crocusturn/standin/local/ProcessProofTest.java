package org.crocusturn.standin.local;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.crocusturn.core.Verdict;
import org.crocusturn.daemon.operators.NewKey;
import org.crocusturn.standin.history.HistoryChecker;
import org.crocusturn.standin.history.LoadGenerator;
import org.crocusturn.standin.history.Operation;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Injects failures that only separate processes can have, and checks the history. */
class ProcessProofTest {
    private static final long SEED = 20_261_205;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int CALLER_COUNT = 4;

    /** What happens to a process while callers write. */
    enum Injected {
        /** kill -9 of the process of the primary. */
        PRIMARY_KILLED(Duration.ofSeconds(1)) {
            @Override
            void inject(ProcessDeployment deployment, Consumer<String> awaitWrites) {
                deployment.sendSignal(deployment.groupStatus().path("primary").asText(), "KILL");
                awaitWrites.accept("after the kill");
            }
        },
        /** The process of the primary is stopped and goes on after the promotion. */
        PRIMARY_STOPPED(Duration.ofSeconds(3)) {
            @Override
            void inject(ProcessDeployment deployment, Consumer<String> awaitWrites) {
                String primary = deployment.groupStatus().path("primary").asText();
                deployment.sendSignal(primary, "STOP");
                awaitWrites.accept("while the primary is stopped");
                deployment.sendSignal(primary, "CONT");
                awaitWrites.accept("after the old primary went on");
            }
        },
        /** The leaseholder is stopped until another host holds the lease, and goes on. */
        LEASEHOLDER_STOPPED(Duration.ofSeconds(3)) {
            @Override
            void inject(ProcessDeployment deployment, Consumer<String> awaitWrites) {
                String oldLeaseholder = deployment.groupStatus().path("leaseholder").asText();
                deployment.sendSignal(oldLeaseholder, "STOP");
                assertTrue(
                        LocalDeployment.await(
                                TIMEOUT,
                                () -> {
                                    String currentLeaseholder =
                                            deployment.groupStatus().path("leaseholder").asText();
                                    return !currentLeaseholder.isEmpty()
                                            && !currentLeaseholder.equals(oldLeaseholder);
                                }),
                        "the lease did not move");
                awaitWrites.accept("with another leaseholder");
                deployment.sendSignal(oldLeaseholder, "CONT");
                awaitWrites.accept("after the old leaseholder went on");
            }
        },
        /** A control host comes back without its data and has to catch up before it votes. */
        DISK_LOST(Duration.ofSeconds(3)) {
            @Override
            void inject(ProcessDeployment deployment, Consumer<String> awaitWrites) {
                deployment.restartWithoutData(1);
                deployment.issueKey(NewKey.draw(new SecureRandom()));
                assertTrue(
                        LocalDeployment.await(
                                TIMEOUT,
                                () ->
                                        deployment
                                                .status(1)
                                                .filter(s -> s.path("keys").size() == 2)
                                                .isPresent()),
                        () ->
                                "the control host did not catch up: "
                                        + deployment.status(1)
                                        + deployment.readLogTail("control-2"));
                awaitWrites.accept("after the disk was lost");
            }
        };

        private final Duration mMaxGap;

        Injected(Duration maxGap) {
            mMaxGap = maxGap;
        }

        abstract void inject(ProcessDeployment deployment, Consumer<String> awaitWrites);
    }

    /** Guards against wrong answers around a killed, frozen or emptied process. */
    @ParameterizedTest
    @EnumSource
    void keepsHistoryCorrect(Injected injected, @TempDir Path folder) {
        try (ProcessDeployment deployment = ProcessDeployment.start(folder);
                LoadGenerator loadGenerator =
                        LoadGenerator.start(CALLER_COUNT, deployment::caller, SEED)) {
            Consumer<String> awaitWrites = phase -> awaitMoreWrites(loadGenerator, phase);
            awaitWrites.accept("at the start");
            long failureNanos = System.nanoTime();
            injected.inject(deployment, awaitWrites);
            List<Operation> history = loadGenerator.stop();
            Duration gap = Duration.ofNanos(LoadGenerator.longestGapNanos(history, failureNanos));
            System.out.printf(
                    "proof: process %s seed %d gap %d ms, %d operations, %d unknown%n",
                    injected,
                    SEED,
                    gap.toMillis(),
                    history.size(),
                    history.stream().filter(o -> o.verdict() == Verdict.MAY_HAVE_RUN).count());
            AtomicReference<Operation> finalRead = new AtomicReference<>();
            assertTrue(
                    LocalDeployment.await(
                            TIMEOUT,
                            () -> {
                                finalRead.set(deployment.caller(0).readAll());
                                return finalRead.get().isAcknowledged();
                            }),
                    () -> "no final read: " + finalRead.get());
            assertEquals(List.of(), HistoryChecker.check(history, finalRead.get().rows()));
            assertFalse(history.isEmpty());
            assertTrue(gap.compareTo(injected.mMaxGap) <= 0, () -> "gap " + gap);
        }
    }

    private static void awaitMoreWrites(LoadGenerator loadGenerator, String phase) {
        long target = loadGenerator.acknowledgedWrites() + 30;
        assertTrue(
                LocalDeployment.await(TIMEOUT, () -> loadGenerator.acknowledgedWrites() >= target),
                () -> "no writes " + phase);
    }
}
