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

/** Injects failures that need separate processes and checks the recorded history. */
class ProcessProofTest {
    private static final long SEED = 20_261_205;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int CALLER_COUNT = 4;

    /**
     * Failures of a process under load, with the longest allowed gap between acknowledged writes.
     */
    enum Injected {
        /** The process of the primary is killed with SIGKILL. */
        PRIMARY_KILLED(Duration.ofSeconds(1)) {
            @Override
            void inject(ProcessDeployment deployment, Consumer<String> awaitWrites) {
                deployment.sendSignal(deployment.groupStatus().path("primary").asText(), "KILL");
                awaitWrites.accept("after the kill");
            }
        },
        /**
         * The process of the primary is suspended and resumes after the promotion of another copy.
         */
        PRIMARY_STOPPED(Duration.ofSeconds(3)) {
            @Override
            void inject(ProcessDeployment deployment, Consumer<String> awaitWrites) {
                String primary = deployment.groupStatus().path("primary").asText();
                deployment.sendSignal(primary, "STOP");
                awaitWrites.accept("while the primary is suspended");
                deployment.sendSignal(primary, "CONT");
                awaitWrites.accept("after the old primary resumed");
            }
        },
        /** The leaseholder is suspended until another host holds the lease, then resumes. */
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
                        "no other host acquired the lease");
                awaitWrites.accept("with another leaseholder");
                deployment.sendSignal(oldLeaseholder, "CONT");
                awaitWrites.accept("after the old leaseholder resumed");
            }
        },
        /** A control host restarts without its data and must catch up before it votes. */
        DISK_LOST(Duration.ofSeconds(3)) {
            @Override
            void inject(ProcessDeployment deployment, Consumer<String> awaitWrites) {
                deployment.restartWithoutData(1);
                deployment.issueKey(NewKey.generate(new SecureRandom()));
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

    /**
     * Guards against lost, duplicate or stale writes and against slow recovery when a process is
     * killed, suspended or restarted without its data.
     */
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
                    () -> "the final read failed: " + finalRead.get());
            assertEquals(List.of(), HistoryChecker.check(history, finalRead.get().rows()));
            assertFalse(history.isEmpty());
            assertTrue(
                    gap.compareTo(injected.mMaxGap) <= 0,
                    () -> "longest gap between acknowledged writes: " + gap);
        }
    }

    private static void awaitMoreWrites(LoadGenerator loadGenerator, String phase) {
        long target = loadGenerator.acknowledgedWrites() + 30;
        assertTrue(
                LocalDeployment.await(TIMEOUT, () -> loadGenerator.acknowledgedWrites() >= target),
                () -> "no further acknowledged writes " + phase);
    }
}
