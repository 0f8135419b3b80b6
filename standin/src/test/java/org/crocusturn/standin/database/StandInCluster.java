package org.crocusturn.standin.database;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.daemon.endpoints.DatabaseClient;
import org.crocusturn.daemon.endpoints.EndpointCommandClient;
import org.crocusturn.daemon.net.NetThreads;

/** Several stand-ins on loopback ports with the clients to control them in tests. */
final class StandInCluster implements AutoCloseable {
    static final Duration TIMEOUT = Duration.ofSeconds(10);
    static final String DATABASE = "visits";

    private final NetThreads mThreads = NetThreads.start("fleet", 3);
    private final EndpointCommandClient mCommandClient =
            EndpointCommandClient.create(mThreads, TIMEOUT);
    private final List<StandInDatabase> mStandIns;

    StandInCluster(int count, Behaviour behaviour) {
        mStandIns =
                Stream.iterate(1, i -> i + 1)
                        .limit(count)
                        .map(i -> start("db-" + i, behaviour))
                        .toList();
    }

    /**
     * Starts stand-ins of which the first is the primary of term 1 and the others follow it. Table
     * t exists on all of them.
     */
    static StandInCluster withPrimary(int count, Behaviour behaviour) throws Exception {
        StandInCluster cluster = new StandInCluster(count, behaviour);
        cluster.promote(0, 1);
        cluster.followAll(0, 1);
        try (DatabaseClient client = cluster.open(0, 1)) {
            assertDone(
                    cluster.run(
                            client, write(1, "CREATE TABLE t (id BIGINT PRIMARY KEY, n BIGINT)")));
        }
        for (int i = 0; i < count; i++) {
            int copy = i;
            await(() -> cluster.status(copy).position().index() == 1);
        }
        return cluster;
    }

    NetThreads threads() {
        return mThreads;
    }

    StandInDatabase standIn(int index) {
        return mStandIns.get(index);
    }

    CopyStatus status(int index) {
        return standIn(index).status(DATABASE);
    }

    DatabaseClient open(int index, long epoch) throws Exception {
        return DatabaseClient.open(
                        mThreads, 1, standIn(index).record().address(), DATABASE, epoch, TIMEOUT)
                .get(10, TimeUnit.SECONDS);
    }

    DatabaseResult run(DatabaseClient client, DatabaseCommand command) throws Exception {
        return run(client, command, TIMEOUT);
    }

    DatabaseResult run(DatabaseClient client, DatabaseCommand command, Duration timeout)
            throws Exception {
        return client.run(command, timeout).get(10, TimeUnit.SECONDS);
    }

    Optional<CopyStatus> fence(int index, long term) throws Exception {
        return command(
                index, new EndpointCommand.Fence(standIn(index).record().id(), DATABASE, term));
    }

    Optional<CopyStatus> promote(int index, long term) throws Exception {
        return command(
                index, new EndpointCommand.Promote(standIn(index).record().id(), DATABASE, term));
    }

    Optional<CopyStatus> follow(int index, int primary, long term) throws Exception {
        return command(
                index,
                new EndpointCommand.Follow(
                        standIn(index).record().id(),
                        DATABASE,
                        term,
                        standIn(primary).record().statusAddress()));
    }

    void followAll(int primary, long term) throws Exception {
        for (int i = 0; i < mStandIns.size(); i++) {
            if (i != primary) {
                assertTrue(follow(i, primary, term).isPresent(), "the follow command was refused");
            }
        }
    }

    /** Runs a read on one copy and returns the first column of the first row. */
    SqlValue readValue(int index, long epoch, long term, String sql) throws Exception {
        try (DatabaseClient client = open(index, epoch)) {
            return assertDone(run(client, read(term, sql))).rows().get(0).get(0);
        }
    }

    static DatabaseCommand write(long term, String sql, SqlValue... parameters) {
        return new DatabaseCommand.Run(term, Statement.write(sql, parameters));
    }

    static DatabaseCommand read(long term, String sql, SqlValue... parameters) {
        return new DatabaseCommand.Run(term, Statement.read(sql, parameters));
    }

    static DatabaseCommand writeOnce(long term, String requestId, String sql) {
        return new DatabaseCommand.RunOnce(
                term, WorkspaceId.of("bakery"), Statement.write(sql).withRequestId(requestId));
    }

    static DatabaseResult.Done assertDone(DatabaseResult result) {
        return assertInstanceOf(DatabaseResult.Done.class, result, result::toString);
    }

    static SqlValue integer(long value) {
        return new SqlValue.IntegerValue(value);
    }

    static LogPosition position(long term, long index) {
        return LogPosition.of(term, index);
    }

    /** Waits until a condition holds; fails after {@link #TIMEOUT}. */
    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    "the condition did not hold before the timeout");
            LockSupport.parkNanos(1_000_000);
        }
    }

    @Override
    public void close() {
        mStandIns.forEach(StandInDatabase::close);
        mThreads.close();
    }

    private Optional<CopyStatus> command(int index, EndpointCommand command) throws Exception {
        return mCommandClient
                .send(standIn(index).record().statusAddress(), command)
                .get(10, TimeUnit.SECONDS)
                .status();
    }

    private StandInDatabase start(String name, Behaviour behaviour) {
        return StandInDatabase.start(
                StandInSettings.onLoopback(
                                name,
                                "taftish-db",
                                "abdali",
                                List.of(
                                        new DatabaseRecord(DATABASE, 2, 4),
                                        new DatabaseRecord("refills", 2, 4)))
                        .withBehaviour(behaviour),
                mThreads);
    }
}
