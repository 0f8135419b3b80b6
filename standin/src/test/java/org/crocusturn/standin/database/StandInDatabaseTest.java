package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.StandInCluster.DATABASE;
import static org.crocusturn.standin.database.StandInCluster.assertDone;
import static org.crocusturn.standin.database.StandInCluster.await;
import static org.crocusturn.standin.database.StandInCluster.integer;
import static org.crocusturn.standin.database.StandInCluster.position;
import static org.crocusturn.standin.database.StandInCluster.read;
import static org.crocusturn.standin.database.StandInCluster.write;
import static org.crocusturn.standin.database.StandInCluster.writeOnce;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.daemon.endpoints.DatabaseClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stand-in that does not reproduce the failures the product must handle. */
class StandInDatabaseTest {
    private static final String INSERT = "INSERT INTO t VALUES (?, ?)";
    private static final String COUNT_ROWS = "SELECT COUNT(*) FROM t";

    /**
     * Guards against replicas that apply entries before their lag has elapsed or never catch up.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 300})
    void writeAppearsOnReplicaAfterLag(long lagMillis) throws Exception {
        try (StandInCluster cluster =
                        StandInCluster.withPrimary(2, Behaviour.NORMAL.withLagMillis(lagMillis));
                DatabaseClient client = cluster.open(0, 1)) {
            long beforeNanos = System.nanoTime();
            var written = assertDone(cluster.run(client, write(1, INSERT, integer(1), integer(2))));
            assertEquals(position(1, 2), written.position());
            await(() -> cluster.status(1).position().equals(written.position()));
            long passedMillis = (System.nanoTime() - beforeNanos) / 1_000_000;
            assertTrue(
                    passedMillis >= lagMillis,
                    "the replica applied the entry too early: " + passedMillis + " ms");
            assertEquals(integer(1), cluster.readValue(1, 1, 1, COUNT_ROWS));
            await(() -> cluster.status(1).lagMillis() < 10_000);
            assertEquals(0, cluster.status(0).lagMillis());
        }
    }

    /**
     * Guards against split brain after a failover: an old primary that still accepts commands, or
     * that keeps entries which the new primary does not have.
     */
    @Test
    void failoverFencesOldPrimaryAndTruncatesItsLog() throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(3, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            assertDone(cluster.run(client, write(1, INSERT, integer(1), integer(0))));
            await(() -> cluster.status(1).position().index() == 2);
            cluster.standIn(1).changeBehaviour(b -> b.withReplicationPaused(true));
            assertDone(cluster.run(client, write(1, INSERT, integer(2), integer(0))));
            await(() -> cluster.status(2).position().index() == 3);
            cluster.standIn(2).changeBehaviour(b -> b.withReplicationPaused(true));
            assertDone(cluster.run(client, write(1, INSERT, integer(3), integer(0))));

            assertEquals(
                    position(1, 2), cluster.fence(1, 2).map(CopyStatus::position).orElseThrow());
            assertEquals(
                    position(1, 3), cluster.fence(2, 2).map(CopyStatus::position).orElseThrow());
            assertTrue(cluster.promote(2, 2).isPresent());
            assertTrue(cluster.fence(0, 2).isPresent());
            assertRefused(
                    "wrong_term", cluster.run(client, write(1, INSERT, integer(4), integer(0))));
            assertRefused("wrong_term", cluster.run(client, read(1, COUNT_ROWS)));
            assertRefused(
                    "not_primary", cluster.run(client, write(2, INSERT, integer(4), integer(0))));
            assertRefused("not_following", cluster.run(client, read(2, COUNT_ROWS)));
            assertTrue(
                    cluster.promote(1, 1).isEmpty(), "a promotion with an outdated term succeeded");
            assertEquals(position(1, 4), cluster.status(0).position());

            cluster.standIn(1).changeBehaviour(b -> b.withReplicationPaused(false));
            cluster.followAll(2, 2);
            try (DatabaseClient newPrimaryClient = cluster.open(2, 2)) {
                var written =
                        assertDone(
                                cluster.run(
                                        newPrimaryClient,
                                        write(2, INSERT, integer(5), integer(0))));
                assertEquals(position(2, 4), written.position());
                for (int copy : new int[] {0, 1}) {
                    await(() -> cluster.status(copy).position().equals(written.position()));
                    assertEquals(Role.REPLICA, cluster.status(copy).role());
                    assertEquals(
                            integer(1 + 2 + 5),
                            cluster.readValue(copy, 2, 2, "SELECT CAST(SUM(id) AS BIGINT) FROM t"));
                }
            }
        }
    }

    /** Guards against writes that commit after a fence was answered. */
    @Test
    void fencedTransactionDoesNotCommit() throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            assertDone(cluster.run(client, new DatabaseCommand.Begin(1)));
            assertDone(cluster.run(client, write(1, INSERT, integer(1), integer(0))));
            var fenced = cluster.fence(0, 2).orElseThrow();
            assertRefused("wrong_term", cluster.run(client, new DatabaseCommand.Commit(1)));
            assertEquals(fenced.position(), cluster.status(0).position());
            cluster.promote(0, 3);
            assertEquals(integer(0), cluster.readValue(0, 1, 3, COUNT_ROWS));
        }
    }

    /** Guards against a repeated request that writes twice, also after a failover. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestIdRunsOnce(boolean promoted) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(2, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            String sql = "INSERT INTO t VALUES (1, 1), (2, 2)";
            var first = assertDone(cluster.run(client, writeOnce(1, "r1", sql)));
            assertEquals(List.of(2L, false), List.of(first.updated(), first.repeated()));
            await(() -> cluster.status(1).position().equals(first.position()));
            int primary = promoted ? 1 : 0;
            long term = promoted ? 2 : 1;
            if (promoted) {
                cluster.fence(0, 2);
                cluster.promote(1, 2);
            }
            try (DatabaseClient second = cluster.open(primary, 1)) {
                var repeated = assertDone(cluster.run(second, writeOnce(term, "r1", sql)));
                assertEquals(List.of(2L, true), List.of(repeated.updated(), repeated.repeated()));
                assertDone(
                        cluster.run(second, writeOnce(term, "r2", "INSERT INTO t VALUES (3, 3)")));
                assertEquals(integer(3), cluster.readValue(primary, 1, term, COUNT_ROWS));
            }
        }
    }

    /** Guards against a stored outcome of a statement that failed. */
    @Test
    void failedRequestCanBeSentAgain() throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            assertRefused(
                    "sql_error",
                    cluster.run(client, writeOnce(1, "r", "INSERT INTO t VALUES (1)")));
            var second =
                    assertDone(
                            cluster.run(client, writeOnce(1, "r", "INSERT INTO t VALUES (1, 1)")));
            assertEquals(false, second.repeated());
        }
    }

    /** Guards against reads that change data, inside and outside of transactions. */
    @ParameterizedTest
    @MethodSource("changingStatements")
    void refusesReadThatWrites(String sql, boolean inTransaction) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            assertDone(cluster.run(client, write(1, "CREATE SEQUENCE s")));
            assertDone(cluster.run(client, write(1, INSERT, integer(1), integer(7))));
            if (inTransaction) {
                assertDone(cluster.run(client, new DatabaseCommand.Begin(1)));
            }
            var refused =
                    assertInstanceOf(
                            DatabaseResult.Refused.class, cluster.run(client, read(1, sql)), sql);
            assertEquals(Verdict.NOT_RUN, refused.failure().verdict());
            if (inTransaction) {
                assertDone(cluster.run(client, new DatabaseCommand.Commit(1)));
            }
            assertEquals(position(1, 3), cluster.status(0).position());
            assertEquals(
                    integer(7), cluster.readValue(0, 1, 1, "SELECT CAST(SUM(n) AS BIGINT) FROM t"));
            assertEquals(
                    integer(1),
                    assertDone(cluster.run(client, write(1, "SELECT NEXT VALUE FOR s")))
                            .rows()
                            .get(0)
                            .get(0));
        }
    }

    static Stream<org.junit.jupiter.params.provider.Arguments> changingStatements() {
        return Stream.of(
                        "INSERT INTO t VALUES (2, 2)",
                        "UPDATE t SET n = 1",
                        "DELETE FROM t",
                        "MERGE INTO t KEY (id) VALUES (1, 1)",
                        "SELECT * FROM FINAL TABLE (INSERT INTO t VALUES (2, 2))",
                        "SELECT id FROM (SELECT * FROM OLD /* */ TABLE (DELETE FROM t)) x",
                        "EXPLAIN ANALYZE DELETE FROM t",
                        "SELECT NEXT VALUE FOR s",
                        "DROP TABLE t",
                        "TRUNCATE TABLE t",
                        "COMMIT",
                        "SELECT 1; DELETE FROM t")
                .flatMap(
                        sql ->
                                Stream.of(true, false)
                                        .map(
                                                in ->
                                                        org.junit.jupiter.params.provider.Arguments
                                                                .of(sql, in)));
    }

    /** Guards against transactions of a previous leaseholder that stay open or commit. */
    @Test
    void newerEpochRollsBackOlderSessions() throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                DatabaseClient olderClient = cluster.open(0, 1)) {
            assertDone(cluster.run(olderClient, write(1, INSERT, integer(1), integer(0))));
            assertDone(cluster.run(olderClient, new DatabaseCommand.Begin(1)));
            assertDone(cluster.run(olderClient, write(1, "UPDATE t SET n = 5")));
            try (DatabaseClient newerClient = cluster.open(0, 2)) {
                assertDone(cluster.run(newerClient, write(1, "UPDATE t SET n = n + 1")));
                assertEquals(integer(1), cluster.readValue(0, 2, 1, "SELECT n FROM t"));
                var lateCommit = cluster.run(olderClient, new DatabaseCommand.Commit(1));
                assertInstanceOf(DatabaseResult.Lost.class, lateCommit);
                var refused =
                        org.junit.jupiter.api.Assertions.assertThrows(
                                ExecutionException.class, () -> cluster.open(0, 1));
                assertTrue(refused.getMessage().contains("old_epoch"), refused::getMessage);
            }
        }
    }

    /**
     * Guards against a running statement of a previous leaseholder that commits after the next one
     * has opened a session.
     */
    @Test
    void runningStatementOfOlderEpochDoesNotCommit() throws Exception {
        try (StandInCluster cluster =
                        StandInCluster.withPrimary(1, Behaviour.NORMAL.withStatementMillis(200));
                DatabaseClient olderClient = cluster.open(0, 1)) {
            var running =
                    olderClient.run(
                            writeOnce(1, "r", "INSERT INTO t VALUES (1, 0)"),
                            StandInCluster.TIMEOUT);
            await(() -> cluster.standIn(0).counters().fieldNames().contains("requestId"));
            try (DatabaseClient newerClient = cluster.open(0, 2)) {
                assertInstanceOf(DatabaseResult.Lost.class, running.get(10, TimeUnit.SECONDS));
                await(() -> cluster.standIn(0).sessionCount(DATABASE) == 1);
                assertEquals(position(1, 1), cluster.status(0).position());
                assertEquals(
                        integer(0),
                        assertDone(cluster.run(newerClient, read(1, COUNT_ROWS)))
                                .rows()
                                .get(0)
                                .get(0));
            }
        }
    }

    /** Guards against limits that are not enforced, or refusals that are not counted. */
    @Test
    void limitsAreEnforcedAndCounted() throws Exception {
        try (StandInCluster cluster =
                StandInCluster.withPrimary(1, Behaviour.NORMAL.withStatementMillis(300))) {
            await(() -> cluster.standIn(0).sessionCount(DATABASE) == 0);
            List<DatabaseClient> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                clients.add(cluster.open(0, 1));
            }
            var tooMany =
                    org.junit.jupiter.api.Assertions.assertThrows(
                            ExecutionException.class, () -> cluster.open(0, 1));
            assertTrue(tooMany.getMessage().contains("too_many_connections"));
            List<CompletableFuture<DatabaseResult>> results =
                    clients.stream()
                            .map(c -> c.run(read(1, COUNT_ROWS), StandInCluster.TIMEOUT))
                            .toList();
            long refused = 0;
            for (CompletableFuture<DatabaseResult> result : results) {
                if (result.get(10, TimeUnit.SECONDS) instanceof DatabaseResult.Refused r) {
                    assertTrue(r.failure().message().startsWith("too_many_statements"));
                    refused++;
                }
            }
            Counters counters = cluster.standIn(0).counters();
            assertEquals(2, refused);
            assertEquals(2, counters.refusalCount(DATABASE, "too_many_statements"));
            assertEquals(1, counters.refusalCount(DATABASE, "too_many_connections"));
            assertEquals(2, counters.maxConcurrentStatements(DATABASE));
            assertEquals(4, counters.maxOpenSessions(DATABASE));
            assertEquals(2, counters.executionCount(COUNT_ROWS));
            assertEquals(0, counters.maxConcurrentStatements("refills"));
            assertTrue(counters.fieldNames().contains("parameters"));
            assertTrue(counters.headerNames().contains("content-type"));
            clients.forEach(DatabaseClient::close);
            await(() -> cluster.standIn(0).sessionCount(DATABASE) == 0);
        }
    }

    /** Guards against transactions that are partially visible or partially replicated. */
    @ParameterizedTest
    @CsvSource({"true, 2, 3", "false, 0, 1"})
    void transactionIsOneLogEntry(boolean commit, long rows, long index) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(2, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1);
                DatabaseClient otherClient = cluster.open(0, 1)) {
            assertDone(cluster.run(client, new DatabaseCommand.Begin(1)));
            assertDone(cluster.run(client, write(1, INSERT, integer(1), integer(0))));
            assertDone(cluster.run(client, write(1, INSERT, integer(2), integer(0))));
            var ownCount = assertDone(cluster.run(client, read(1, COUNT_ROWS)));
            assertEquals(integer(2), ownCount.rows().get(0).get(0));
            assertEquals(
                    integer(0),
                    assertDone(cluster.run(otherClient, read(1, COUNT_ROWS))).rows().get(0).get(0));
            assertDone(
                    cluster.run(
                            client,
                            commit
                                    ? new DatabaseCommand.Commit(1)
                                    : new DatabaseCommand.Rollback()));
            if (commit) {
                assertDone(cluster.run(client, write(1, "UPDATE t SET n = 1")));
            }
            assertEquals(position(1, index), cluster.status(0).position());
            await(() -> cluster.status(1).position().equals(position(1, index)));
            assertEquals(integer(rows), cluster.readValue(1, 1, 1, COUNT_ROWS));
        }
    }

    /** Guards against values that lose their type or precision in transfer or replication. */
    @ParameterizedTest
    @MethodSource("values")
    void valuesKeepTypeAndPrecision(String type, SqlValue value) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(2, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            assertDone(cluster.run(client, write(1, "CREATE TABLE v (x " + type + ")")));
            assertDone(cluster.run(client, write(1, "INSERT INTO v VALUES (?)", value)));
            await(() -> cluster.status(1).position().equals(position(1, 3)));
            assertEquals(value, cluster.readValue(0, 1, 1, "SELECT x FROM v"));
            assertEquals(value, cluster.readValue(1, 1, 1, "SELECT x FROM v"));
        }
    }

    static Stream<org.junit.jupiter.params.provider.Arguments> values() {
        return Stream.of(
                        List.of("BIGINT", SqlValue.NullValue.INSTANCE),
                        List.of("BOOLEAN", new SqlValue.BooleanValue(true)),
                        List.of("BIGINT", integer(Long.MIN_VALUE)),
                        List.of("SMALLINT", integer(-3)),
                        List.of("NUMERIC(30, 2)", decimal("12345678901234567890.10")),
                        List.of("NUMERIC(5, 2)", decimal("1.00")),
                        List.of("DOUBLE PRECISION", decimal("0.1")),
                        List.of("VARCHAR", new SqlValue.TextValue("مدرسة \"1\"\n")),
                        List.of("CLOB", new SqlValue.TextValue("long")),
                        List.of("DATE", new SqlValue.TextValue("2026-02-28")),
                        List.of("TIME", new SqlValue.TextValue("10:11:12")),
                        List.of("TIMESTAMP", new SqlValue.TextValue("2026-02-28T10:11:12.500")))
                .map(l -> org.junit.jupiter.params.provider.Arguments.of(l.get(0), l.get(1)));
    }

    private static SqlValue decimal(String text) {
        return new SqlValue.DecimalValue(new java.math.BigDecimal(text));
    }

    private static void assertRefused(String code, DatabaseResult result) {
        var refused = assertInstanceOf(DatabaseResult.Refused.class, result, result::toString);
        assertTrue(refused.failure().message().startsWith(code), refused::toString);
        assertEquals(Verdict.NOT_RUN, refused.failure().verdict());
    }
}
