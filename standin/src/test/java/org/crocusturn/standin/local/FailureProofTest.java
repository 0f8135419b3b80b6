package org.crocusturn.standin.local;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.daemon.ControlDaemon;
import org.crocusturn.daemon.EntryDaemon;
import org.crocusturn.daemon.operators.ConfigurationWriter;
import org.crocusturn.daemon.operators.OperatorClient;
import org.crocusturn.standin.database.Behaviour;
import org.crocusturn.standin.history.Load;
import org.crocusturn.standin.history.Operation;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Injects one failure into a whole deployment under load and checks the history. */
class FailureProofTest {
    private static final long SEED = 20_261_204;

    /** Failures that may cost requests, with the longest gap that is allowed. */
    enum Injected {
        PRIMARY_CLOSED(p -> p.deployment().end(p.primary()), Duration.ofSeconds(1)),
        PRIMARY_FROZEN(p -> p.primary().freeze(), Duration.ofSeconds(3)),
        LEASEHOLDER_CLOSED(p -> p.deployment().end(p.leaseholder()), Duration.ofSeconds(3)),
        CONTROL_LEADER_CLOSED(p -> p.deployment().end(p.leader()), Duration.ofSeconds(3));

        private final Consumer<Proof> mInjection;
        private final Duration mGap;

        Injected(Consumer<Proof> injection, Duration gap) {
            mInjection = injection;
            mGap = gap;
        }
    }

    /** Planned changes under load that must not cost any request. */
    enum Planned {
        DATA_CENTRE_DRAINED(
                p -> {
                    String centre = p.primary().record().dataCentre().value();
                    p.awaitDataCentre(centre, "drain", true);
                    p.awaitMoreWrites(60);
                    p.awaitDataCentre(centre, "restore", false);
                }),
        ENTRY_HOST_STOPPED(
                p -> {
                    EntryDaemon host = p.leaseholder();
                    host.requestStop();
                    p.awaitStopped(host);
                    p.deployment().end(host);
                });

        private final Consumer<Proof> mChange;

        Planned(Consumer<Proof> change) {
            mChange = change;
        }
    }

    /** Guards against lost, repeated or stale writes after a failure, and against slow recovery. */
    @ParameterizedTest
    @EnumSource
    void keepsHistoryCorrect(Injected injected, @TempDir Path folder) {
        try (Proof proof = Proof.start(folder, SEED)) {
            long at = System.nanoTime();
            injected.mInjection.accept(proof);
            proof.awaitMoreWrites(60);
            List<Operation> history = proof.check();
            Duration gap = Duration.ofNanos(Load.longestGapNanos(history, at));
            long unknown =
                    history.stream().filter(o -> o.verdict() == Verdict.MAY_HAVE_RUN).count();
            System.out.printf(
                    "proof: %s seed %d gap %d ms, %d operations, %d not run, %d unknown%n",
                    injected,
                    SEED,
                    gap.toMillis(),
                    history.size(),
                    Proof.failed(history).size() - unknown,
                    unknown);
            assertTrue(gap.compareTo(injected.mGap) <= 0, () -> "gap " + gap);
        }
    }

    /** Guards against requests that fail because of a planned change. */
    @ParameterizedTest
    @EnumSource
    void failsNoRequest(Planned planned, @TempDir Path folder) {
        try (Proof proof = Proof.start(folder, SEED)) {
            planned.mChange.accept(proof);
            proof.awaitMoreWrites(60);
            List<Operation> history = proof.check();
            System.out.printf(
                    "proof: %s seed %d, %d operations, %d failed%n",
                    planned, SEED, history.size(), Proof.failed(history).size());
            assertEquals(List.of(), Proof.failed(history));
        }
    }

    /** Guards against a withdrawn key that goes on working on open connections. */
    @ParameterizedTest
    @EnumSource(names = "KEY_WITHDRAWN")
    void refusesWithdrawnKey(Withdrawal withdrawal, @TempDir Path folder) {
        try (Proof proof = Proof.start(folder, SEED)) {
            String id = proof.leader().state().keys().values().iterator().next().id();
            proof.deployment()
                    .operatorClient()
                    .send("DELETE", "/v1/keys/" + id, Optional.of("withdraw"), new byte[0]);
            long withdrawn = System.nanoTime();
            long deadline = withdrawn + withdrawal.mLimit.toNanos();
            assertTrue(
                    LocalDeployment.await(
                            Duration.ofSeconds(6),
                            () -> System.nanoTime() > deadline + 1_000_000_000L));
            List<Operation> history = proof.load().stop();
            long last =
                    history.stream()
                            .filter(Operation::isAcknowledged)
                            .mapToLong(Operation::endNanos)
                            .max()
                            .orElseThrow();
            System.out.printf(
                    "proof: KEY_WITHDRAWN seed %d, last success after %d ms, %d refused%n",
                    SEED,
                    Duration.ofNanos(last - withdrawn).toMillis(),
                    Proof.failed(history).stream().filter(o -> o.detail().contains("401")).count());
            assertTrue(last < deadline, "a request succeeded after the limit");
            assertTrue(history.stream().anyMatch(o -> o.detail().contains("401")));
        }
    }

    /** Guards against a restart that recovers an older configuration. */
    @ParameterizedTest
    @ValueSource(ints = 500)
    void recoversNewestConfiguration(int changes, @TempDir Path folder) {
        try (LocalDeployment deployment =
                LocalDeployment.start(
                        new LocalPlan(Proof.CONFIGURATION, 3, 1, folder, 0, Behaviour.NORMAL))) {
            OperatorClient client = deployment.operatorClient();
            IntStream.rangeClosed(2, changes + 1)
                    .forEach(
                            version ->
                                    client.send(
                                            "POST",
                                            "/v1/configuration",
                                            Optional.of("change-" + version),
                                            ConfigurationWriter.write(Proof.configuration(version))
                                                    .getBytes(StandardCharsets.UTF_8)));
            ControlState before = newest(deployment);
            deployment.restartControlHosts();
            assertTrue(
                    LocalDeployment.await(
                            Proof.LIMIT,
                            () ->
                                    deployment.controlHosts().stream()
                                            .allMatch(
                                                    c -> c.state().version() >= before.version())),
                    "a control host did not recover");
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

    private static ControlState newest(LocalDeployment deployment) {
        return deployment.controlHosts().stream()
                .map(ControlDaemon::state)
                .max(Comparator.comparingLong(ControlState::version))
                .orElseThrow();
    }

    /** How a key ends. */
    enum Withdrawal {
        KEY_WITHDRAWN(Duration.ofSeconds(3));

        private final Duration mLimit;

        Withdrawal(Duration limit) {
            mLimit = limit;
        }
    }
}
