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
import org.crocusturn.standin.history.Load;
import org.crocusturn.standin.history.Operation;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Injects failures that only separate processes can have, and checks the history. */
class ProcessProofTest {
    private static final long SEED = 20_261_205;
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final int CALLERS = 4;

    /** What happens to a process while callers write. */
    enum Injected {
        /** kill -9 of the process of the primary. */
        PRIMARY_KILLED(Duration.ofSeconds(1)) {
            @Override
            void inject(Processes processes, Consumer<String> progress) {
                processes.signal(processes.group().path("primary").asText(), "KILL");
                progress.accept("after the kill");
            }
        },
        /** The process of the primary is stopped and goes on after the promotion. */
        PRIMARY_STOPPED(Duration.ofSeconds(3)) {
            @Override
            void inject(Processes processes, Consumer<String> progress) {
                String primary = processes.group().path("primary").asText();
                processes.signal(primary, "STOP");
                progress.accept("while the primary is stopped");
                processes.signal(primary, "CONT");
                progress.accept("after the old primary went on");
            }
        },
        /** The leaseholder is stopped until another host holds the lease, and goes on. */
        LEASEHOLDER_STOPPED(Duration.ofSeconds(3)) {
            @Override
            void inject(Processes processes, Consumer<String> progress) {
                String holder = processes.group().path("leaseholder").asText();
                processes.signal(holder, "STOP");
                assertTrue(
                        LocalDeployment.await(
                                LIMIT,
                                () -> {
                                    String now = processes.group().path("leaseholder").asText();
                                    return !now.isEmpty() && !now.equals(holder);
                                }),
                        "the lease did not move");
                progress.accept("with another leaseholder");
                processes.signal(holder, "CONT");
                progress.accept("after the old leaseholder went on");
            }
        },
        /** A control host comes back without its data and has to catch up before it votes. */
        DISK_LOST(Duration.ofSeconds(3)) {
            @Override
            void inject(Processes processes, Consumer<String> progress) {
                processes.loseDisk(1);
                processes.issueKey(NewKey.generate(new SecureRandom()));
                assertTrue(
                        LocalDeployment.await(
                                LIMIT,
                                () ->
                                        processes
                                                .status(1)
                                                .filter(s -> s.path("keys").size() == 2)
                                                .isPresent()),
                        () ->
                                "the control host did not catch up: "
                                        + processes.status(1)
                                        + processes.log("control-2"));
                progress.accept("after the disk was lost");
            }
        };

        private final Duration mGap;

        Injected(Duration gap) {
            mGap = gap;
        }

        abstract void inject(Processes processes, Consumer<String> progress);
    }

    /** Guards against wrong answers around a killed, frozen or emptied process. */
    @ParameterizedTest
    @EnumSource
    void keepsHistoryCorrect(Injected injected, @TempDir Path folder) {
        try (Processes processes = Processes.start(folder);
                Load load = Load.start(CALLERS, processes::caller, SEED)) {
            Consumer<String> progress = when -> awaitMoreWrites(load, when);
            progress.accept("at the start");
            long at = System.nanoTime();
            injected.inject(processes, progress);
            List<Operation> history = load.stop();
            Duration gap = Duration.ofNanos(Load.longestGapNanos(history, at));
            System.out.printf(
                    "proof: process %s seed %d gap %d ms, %d operations, %d unknown%n",
                    injected,
                    SEED,
                    gap.toMillis(),
                    history.size(),
                    history.stream().filter(o -> o.verdict() == Verdict.MAY_HAVE_RUN).count());
            AtomicReference<Operation> all = new AtomicReference<>();
            assertTrue(
                    LocalDeployment.await(
                            LIMIT,
                            () -> {
                                all.set(processes.caller(0).readAll());
                                return all.get().isAcknowledged();
                            }),
                    () -> "no final read: " + all.get());
            assertEquals(List.of(), HistoryChecker.check(history, all.get().rows()));
            assertFalse(history.isEmpty());
            assertTrue(gap.compareTo(injected.mGap) <= 0, () -> "gap " + gap);
        }
    }

    private static void awaitMoreWrites(Load load, String when) {
        long target = load.acknowledged() + 30;
        assertTrue(
                LocalDeployment.await(LIMIT, () -> load.acknowledged() >= target),
                () -> "no writes " + when);
    }
}
