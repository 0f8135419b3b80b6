package org.crocusturn.standin.local;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.daemon.ControlDaemon;
import org.crocusturn.daemon.EntryDaemon;
import org.crocusturn.standin.database.Behaviour;
import org.crocusturn.standin.database.StandInDatabase;
import org.crocusturn.standin.history.Caller;
import org.crocusturn.standin.history.HistoryChecker;
import org.crocusturn.standin.history.LoadGenerator;
import org.crocusturn.standin.history.Operation;

/** Deployment under a light load whose recorded history can be checked. */
final class DeploymentUnderLoad implements AutoCloseable {
    static final String SERVICE = "taftish-db";
    static final String WORKSPACE = "field-east";
    static final GroupId GROUP = GroupId.of(SERVICE, "visits");
    static final Duration TIMEOUT = Duration.ofSeconds(20);
    static final Configuration CONFIGURATION = configuration(1);
    private static final int CALLER_COUNT = 4;
    private static final long[] LAG_MILLIS = {50, 100, 200};

    private final LocalDeployment mDeployment;
    private final LoadGenerator mLoadGenerator;

    private DeploymentUnderLoad(LocalDeployment deployment, long seed) {
        mDeployment = deployment;
        assertEquals(
                "",
                caller(0).execute("CREATE TABLE entry (number BIGINT, part INT, session INT)"),
                "CREATE TABLE failed");
        mLoadGenerator = LoadGenerator.start(CALLER_COUNT, this::caller, seed);
    }

    static Configuration configuration(long version) {
        return new Configuration(
                version,
                Stream.of("abdali", "marka", "tlaa-ali").map(DataCentreId::of).toList(),
                List.of(
                        new Workspace(
                                WorkspaceId.of(WORKSPACE),
                                new RateLimit(2_000, 4_000 + version),
                                Set.of(SERVICE),
                                java.util.Map.of(SERVICE, "visits"))),
                List.of(
                        new Service(
                                SERVICE,
                                List.of("visits"),
                                3,
                                4,
                                32,
                                AcknowledgeMode.DURABLE,
                                false)),
                List.of());
    }

    static DeploymentUnderLoad start(Path folder, long seed) {
        LocalDeployment deployment =
                LocalDeployment.start(
                        new LocalDeploymentSettings(
                                CONFIGURATION, 3, 3, folder, 0, Behaviour.NORMAL));
        IntStream.range(0, LAG_MILLIS.length)
                .forEach(
                        n ->
                                deployment
                                        .databases()
                                        .get(n)
                                        .changeBehaviour(b -> b.withLagMillis(LAG_MILLIS[n])));
        try {
            DeploymentUnderLoad system = new DeploymentUnderLoad(deployment, seed);
            system.awaitMoreWrites(20);
            return system;
        } catch (RuntimeException | Error e) {
            deployment.close();
            throw e;
        }
    }

    LocalDeployment deployment() {
        return mDeployment;
    }

    LoadGenerator loadGenerator() {
        return mLoadGenerator;
    }

    Caller caller(int session) {
        return Caller.create(
                mDeployment.entryUrls(), SERVICE, mDeployment.keys().get(WORKSPACE), session);
    }

    /** Waits for further acknowledged writes, which show that the deployment serves requests. */
    void awaitMoreWrites(int count) {
        long target = mLoadGenerator.acknowledgedWrites() + count;
        assertTrue(
                LocalDeployment.await(TIMEOUT, () -> mLoadGenerator.acknowledgedWrites() >= target),
                () -> "no further acknowledged writes; last operations: " + lastOperations());
    }

    GroupRecord group() {
        return leader().state().groups().get(GROUP);
    }

    ControlDaemon leader() {
        AtomicReference<ControlDaemon> leader = new AtomicReference<>();
        LocalDeployment.await(
                TIMEOUT,
                () -> {
                    mDeployment.controlHosts().stream()
                            .filter(ControlDaemon::leads)
                            .findFirst()
                            .ifPresent(leader::set);
                    return leader.get() != null;
                });
        return leader.get();
    }

    StandInDatabase primary() {
        return mDeployment.databases().stream()
                .filter(d -> group().primary().equals(java.util.Optional.of(d.record().id())))
                .findFirst()
                .orElseThrow();
    }

    EntryDaemon leaseholder() {
        return mDeployment.entryHosts().stream()
                .filter(e -> e.view().leases().containsKey(GROUP))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Drains or restores a data centre and waits for the new state. A drain also waits until the
     * primary is in another data centre.
     */
    void awaitDataCentre(String dataCentre, String action, boolean drained) {
        mDeployment
                .operatorClient()
                .send(
                        "POST",
                        "/v1/data-centres/" + dataCentre + "/" + action,
                        java.util.Optional.of("proof-" + action),
                        new byte[0]);
        assertTrue(
                LocalDeployment.await(
                        TIMEOUT,
                        () ->
                                leader().state().drained().contains(DataCentreId.of(dataCentre))
                                                == drained
                                        && (!drained || isPrimaryOutside(dataCentre))),
                () -> dataCentre + " did not reach the expected state: " + group());
    }

    void awaitStopped(EntryDaemon host) {
        try {
            host.awaitStopped();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isPrimaryOutside(String dataCentre) {
        return group().primary().isPresent()
                && !primary().record().dataCentre().value().equals(dataCentre);
    }

    /** Stops the load, checks the history against the final data and returns it. */
    List<Operation> stopAndCheck() {
        List<Operation> history = mLoadGenerator.stop();
        AtomicReference<Operation> finalRead = new AtomicReference<>();
        assertTrue(
                LocalDeployment.await(
                        TIMEOUT,
                        () -> {
                            // The primary serves the reads of a session without writes.
                            finalRead.set(caller(0).readAll());
                            return finalRead.get().isAcknowledged();
                        }),
                () -> "the final read failed: " + finalRead.get());
        List<String> faults = HistoryChecker.check(history, finalRead.get().rows());
        assertEquals(List.of(), faults);
        return history;
    }

    /** Returns the operations that ended without an acknowledgement. */
    static List<Operation> unacknowledged(List<Operation> history) {
        return history.stream().filter(Predicate.not(Operation::isAcknowledged)).toList();
    }

    @Override
    public void close() {
        mLoadGenerator.close();
        mDeployment.close();
    }

    private List<Operation> lastOperations() {
        List<Operation> history = mLoadGenerator.history();
        return history.subList(Math.max(0, history.size() - 4), history.size());
    }
}
