package org.crocusturn.standin.local;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.daemon.ControlDaemon;
import org.crocusturn.daemon.EntryDaemon;
import org.crocusturn.daemon.operators.ConfigurationWriter;
import org.crocusturn.daemon.operators.OperatorClient;
import org.crocusturn.standin.database.Behaviour;
import org.crocusturn.standin.database.Fault;
import org.crocusturn.standin.database.StandInDatabase;
import org.crocusturn.standin.history.LoadGenerator;
import org.crocusturn.standin.history.Operation;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Injects one failure or planned change into a deployment in one process, mostly under load, and
 * checks the recorded history or the recovered state.
 */
class FailureProofTest {
    private static final long SEED = 20_261_204;
    private static final int FAULT_ROUNDS = 12;
    private static final int WRITES_PER_ROUND = 8;
    private static final String[] OTHER_ROUTES = {"/v1/status", "/v1/replication", "/v1/session"};

    /**
     * Failures that may fail requests, with the longest allowed gap between acknowledged writes.
     */
    enum Injected {
        PRIMARY_CLOSED(
                system -> system.deployment().terminate(system.primary()), Duration.ofSeconds(1)),
        PRIMARY_FROZEN(system -> system.primary().freeze(), Duration.ofSeconds(3)),
        LEASEHOLDER_CLOSED(
                system -> system.deployment().terminate(system.leaseholder()),
                Duration.ofSeconds(3)),
        CONTROL_LEADER_CLOSED(
                system -> system.deployment().terminate(system.leader()), Duration.ofSeconds(3));

        private final Consumer<DeploymentUnderLoad> mInjection;
        private final Duration mMaxGap;

        Injected(Consumer<DeploymentUnderLoad> injection, Duration maxGap) {
            mInjection = injection;
            mMaxGap = maxGap;
        }
    }

    /** Faults of database answers, with the delays of late or repeated ones in milliseconds. */
    enum FaultyAnswers {
        LATE(Fault.Kind.LATE, 5, 50, 400),
        SPLIT(Fault.Kind.SPLIT, 0),
        CROSSED(Fault.Kind.CROSSED, 0),
        CUT(Fault.Kind.CUT, 0),
        REPEATED_AT_ONCE(Fault.Kind.REPEATED, 0, 1),
        REPEATED_LATE(Fault.Kind.REPEATED, 5, 20, 100),
        REPEATED_AFTER_SECONDS(Fault.Kind.REPEATED, 1_000, 2_000);

        private final Fault.Kind mKind;
        private final long[] mDelays;

        FaultyAnswers(Fault.Kind kind, long... delays) {
            mKind = kind;
            mDelays = delays;
        }

        /** Returns a fault of two answers in a row, and of one of another route. */
        private Fault[] faults(Random random) {
            Fault fault = Fault.once(mKind).withMillis(mDelays[random.nextInt(mDelays.length)]);
            return new Fault[] {
                fault.withTimes(2), fault.withRoute(OTHER_ROUTES[random.nextInt(3)])
            };
        }
    }

    /** Planned changes under load that must not fail any request. */
    enum PlannedChange {
        DATA_CENTRE_DRAINED(
                system -> {
                    String dataCentre = system.primary().record().dataCentre().value();
                    system.awaitDataCentre(dataCentre, "drain", true);
                    system.awaitMoreWrites(60);
                    system.awaitDataCentre(dataCentre, "restore", false);
                }),
        ENTRY_HOST_STOPPED(
                system -> {
                    EntryDaemon host = system.leaseholder();
                    host.requestStop();
                    system.awaitStopped(host);
                    system.deployment().terminate(host);
                });

        private final Consumer<DeploymentUnderLoad> mChange;

        PlannedChange(Consumer<DeploymentUnderLoad> change) {
            mChange = change;
        }
    }

    /** Guards against lost, duplicate or stale writes after a failure and against slow recovery. */
    @ParameterizedTest
    @EnumSource
    void keepsHistoryCorrect(Injected injected, @TempDir Path folder) {
        try (DeploymentUnderLoad system = DeploymentUnderLoad.start(folder, SEED)) {
            long failureNanos = System.nanoTime();
            injected.mInjection.accept(system);
            system.awaitMoreWrites(60);
            List<Operation> history = system.stopAndCheck();
            Duration gap = Duration.ofNanos(LoadGenerator.longestGapNanos(history, failureNanos));
            long unknownOutcomes =
                    history.stream().filter(o -> o.verdict() == Verdict.MAY_HAVE_RUN).count();
            System.out.printf(
                    "proof: %s seed %d gap %d ms, %d operations, %d not run, %d unknown%n",
                    injected,
                    SEED,
                    gap.toMillis(),
                    history.size(),
                    DeploymentUnderLoad.unacknowledged(history).size() - unknownOutcomes,
                    unknownOutcomes);
            assertTrue(
                    gap.compareTo(injected.mMaxGap) <= 0,
                    () -> "longest gap between acknowledged writes: " + gap);
        }
    }

    /** Guards against answers of databases that are given to another request or used in part. */
    @ParameterizedTest
    @EnumSource
    void keepsHistoryCorrectDespiteFaultyAnswers(FaultyAnswers kind, @TempDir Path folder) {
        Random random = new Random(SEED);
        try (DeploymentUnderLoad system = DeploymentUnderLoad.start(folder, SEED)) {
            IntStream.range(0, FAULT_ROUNDS)
                    .forEach(
                            round -> {
                                system.deployment()
                                        .databases()
                                        .forEach(d -> d.injectFaults(kind.faults(random)));
                                system.awaitMoreWrites(WRITES_PER_ROUND);
                            });
            system.deployment().databases().forEach(StandInDatabase::injectFaults);
            system.awaitMoreWrites(WRITES_PER_ROUND);
            List<Operation> history = system.stopAndCheck();
            System.out.printf(
                    "proof: %s seed %d, %d rounds, %d operations, %d not acknowledged%n",
                    kind,
                    SEED,
                    FAULT_ROUNDS,
                    history.size(),
                    DeploymentUnderLoad.unacknowledged(history).size());
        }
    }

    /** Guards against requests that fail because of a planned change. */
    @ParameterizedTest
    @EnumSource
    void failsNoRequest(PlannedChange change, @TempDir Path folder) {
        try (DeploymentUnderLoad system = DeploymentUnderLoad.start(folder, SEED)) {
            change.mChange.accept(system);
            system.awaitMoreWrites(60);
            List<Operation> history = system.stopAndCheck();
            System.out.printf(
                    "proof: %s seed %d, %d operations, %d failed%n",
                    change,
                    SEED,
                    history.size(),
                    DeploymentUnderLoad.unacknowledged(history).size());
            assertEquals(List.of(), DeploymentUnderLoad.unacknowledged(history));
        }
    }

    /** Guards against a withdrawn key that is still accepted on open connections. */
    @ParameterizedTest
    @EnumSource(names = "KEY_WITHDRAWN")
    void refusesWithdrawnKey(KeyWithdrawal withdrawal, @TempDir Path folder) {
        try (DeploymentUnderLoad system = DeploymentUnderLoad.start(folder, SEED)) {
            String keyId = system.leader().state().keys().values().iterator().next().id();
            system.deployment()
                    .operatorClient()
                    .send("DELETE", "/v1/keys/" + keyId, Optional.of("withdraw"), new byte[0]);
            long withdrawnNanos = System.nanoTime();
            long deadlineNanos = withdrawnNanos + withdrawal.mMaxDelay.toNanos();
            assertTrue(
                    LocalDeployment.await(
                            Duration.ofSeconds(6),
                            () -> System.nanoTime() > deadlineNanos + 1_000_000_000L));
            List<Operation> history = system.loadGenerator().stop();
            long lastSuccessNanos =
                    history.stream()
                            .filter(Operation::isAcknowledged)
                            .mapToLong(Operation::endNanos)
                            .max()
                            .orElseThrow();
            System.out.printf(
                    "proof: KEY_WITHDRAWN seed %d, last success after %d ms, %d refused%n",
                    SEED,
                    Duration.ofNanos(lastSuccessNanos - withdrawnNanos).toMillis(),
                    DeploymentUnderLoad.unacknowledged(history).stream()
                            .filter(o -> o.detail().contains("401"))
                            .count());
            assertTrue(
                    lastSuccessNanos < deadlineNanos,
                    "a request with the withdrawn key succeeded after the limit");
            assertTrue(history.stream().anyMatch(o -> o.detail().contains("401")));
        }
    }

    /** Guards against a restart of all control hosts that recovers an older configuration. */
    @ParameterizedTest
    @ValueSource(ints = 500)
    void recoversNewestConfiguration(int changes, @TempDir Path folder) {
        try (LocalDeployment deployment =
                LocalDeployment.start(
                        new LocalDeploymentSettings(
                                DeploymentUnderLoad.CONFIGURATION,
                                3,
                                1,
                                folder,
                                0,
                                Behaviour.NORMAL))) {
            OperatorClient client = deployment.operatorClient();
            IntStream.rangeClosed(2, changes + 1)
                    .forEach(
                            version ->
                                    client.send(
                                            "POST",
                                            "/v1/configuration",
                                            Optional.of("change-" + version),
                                            ConfigurationWriter.write(
                                                            DeploymentUnderLoad.configuration(
                                                                    version))
                                                    .getBytes(StandardCharsets.UTF_8)));
            ControlState before = newestState(deployment);
            deployment.restartControlHosts();
            assertTrue(
                    LocalDeployment.await(
                            DeploymentUnderLoad.TIMEOUT,
                            () ->
                                    deployment.controlHosts().stream()
                                            .allMatch(
                                                    c -> c.state().version() >= before.version())),
                    "a control host did not recover the latest version");
            deployment
                    .controlHosts()
                    .forEach(
                            c -> {
                                assertEquals(before.configuration(), c.state().configuration());
                                assertEquals(before.keys(), c.state().keys());
                                assertEquals(before.placements(), c.state().placements());
                            });
            assertEquals(changes + 1, before.configuration().version());
            System.out.printf(
                    "proof: CONTROL_HOSTS_RESTARTED, version %d after %d changes%n",
                    before.version(), changes);
        }
    }

    private static ControlState newestState(LocalDeployment deployment) {
        return deployment.controlHosts().stream()
                .map(ControlDaemon::state)
                .max(Comparator.comparingLong(ControlState::version))
                .orElseThrow();
    }

    /** Withdrawals of a key, with the longest time until requests with it are refused. */
    enum KeyWithdrawal {
        KEY_WITHDRAWN(Duration.ofSeconds(3));

        private final Duration mMaxDelay;

        KeyWithdrawal(Duration maxDelay) {
            mMaxDelay = maxDelay;
        }
    }
}
