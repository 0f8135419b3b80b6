package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.Fleet.DATABASE;
import static org.crocusturn.standin.database.Fleet.at;
import static org.crocusturn.standin.database.Fleet.await;
import static org.crocusturn.standin.database.Fleet.done;
import static org.crocusturn.standin.database.Fleet.integer;
import static org.crocusturn.standin.database.Fleet.once;
import static org.crocusturn.standin.database.Fleet.read;
import static org.crocusturn.standin.database.Fleet.write;
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

/** Guards against a stand-in that hides faults which the product has to survive. */
class StandInDatabaseTest {
    private static final String INSERT = "INSERT INTO t VALUES (?, ?)";
    private static final String COUNT = "SELECT COUNT(*) FROM t";

    /** Guards against replicas that are ahead of their lag or never catch up. */
    @ParameterizedTest
    @ValueSource(longs = {0, 300})
    void writeAppearsOnReplicaAfterLag(long lagMillis) throws Exception {
        try (Fleet fleet = Fleet.withPrimary(2, Behaviour.PROMPT.withLagMillis(lagMillis));
                DatabaseClient client = fleet.open(0, 1)) {
            long beforeNanos = System.nanoTime();
            var written = done(fleet.run(client, write(1, INSERT, integer(1), integer(2))));
            assertEquals(at(1, 2), written.position());
            await(() -> fleet.status(1).position().equals(written.position()));
            long passedMillis = (System.nanoTime() - beforeNanos) / 1_000_000;
            assertTrue(passedMillis >= lagMillis, "replica was ahead: " + passedMillis + " ms");
            assertEquals(integer(1), fleet.value(1, 1, 1, COUNT));
            await(() -> fleet.status(1).lagMillis() < 10_000);
            assertEquals(0, fleet.status(0).lagMillis());
        }
    }

    /** Guards against a second acknowledged history after a failover. */
    @Test
    void failoverFencesThePrimaryAndDropsItsTail() throws Exception {
        try (Fleet fleet = Fleet.withPrimary(3, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            done(fleet.run(client, write(1, INSERT, integer(1), integer(0))));
            await(() -> fleet.status(1).position().index() == 2);
            fleet.standIn(1).change(b -> b.withReplicationPaused(true));
            done(fleet.run(client, write(1, INSERT, integer(2), integer(0))));
            await(() -> fleet.status(2).position().index() == 3);
            fleet.standIn(2).change(b -> b.withReplicationPaused(true));
            done(fleet.run(client, write(1, INSERT, integer(3), integer(0))));

            assertEquals(at(1, 2), fleet.fence(1, 2).map(CopyStatus::position).orElseThrow());
            assertEquals(at(1, 3), fleet.fence(2, 2).map(CopyStatus::position).orElseThrow());
            assertTrue(fleet.promote(2, 2).isPresent());
            assertTrue(fleet.fence(0, 2).isPresent());
            assertRefused(
                    "wrong_term", fleet.run(client, write(1, INSERT, integer(4), integer(0))));
            assertRefused("wrong_term", fleet.run(client, read(1, COUNT)));
            assertRefused(
                    "not_primary", fleet.run(client, write(2, INSERT, integer(4), integer(0))));
            assertRefused("not_following", fleet.run(client, read(2, COUNT)));
            assertTrue(fleet.promote(1, 1).isEmpty(), "a promotion at an old term succeeded");
            assertEquals(at(1, 4), fleet.status(0).position());

            fleet.standIn(1).change(b -> b.withReplicationPaused(false));
            fleet.followAll(2, 2);
            try (DatabaseClient second = fleet.open(2, 2)) {
                var next = done(fleet.run(second, write(2, INSERT, integer(5), integer(0))));
                assertEquals(at(2, 4), next.position());
                for (int copy : new int[] {0, 1}) {
                    await(() -> fleet.status(copy).position().equals(next.position()));
                    assertEquals(Role.REPLICA, fleet.status(copy).role());
                    assertEquals(
                            integer(1 + 2 + 5),
                            fleet.value(copy, 2, 2, "SELECT CAST(SUM(id) AS BIGINT) FROM t"));
                }
            }
        }
    }

    /** Guards against writes that commit after a fence has been answered. */
    @Test
    void transactionOfAnOldTermDoesNotCommit() throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            done(fleet.run(client, new DatabaseCommand.Begin(1)));
            done(fleet.run(client, write(1, INSERT, integer(1), integer(0))));
            var fenced = fleet.fence(0, 2).orElseThrow();
            assertRefused("wrong_term", fleet.run(client, new DatabaseCommand.Commit(1)));
            assertEquals(fenced.position(), fleet.status(0).position());
            fleet.promote(0, 3);
            assertEquals(integer(0), fleet.value(0, 1, 3, COUNT));
        }
    }

    /** Guards against a repeated request that writes twice, also on another primary. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestIdRunsOnce(boolean promoted) throws Exception {
        try (Fleet fleet = Fleet.withPrimary(2, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            String sql = "INSERT INTO t VALUES (1, 1), (2, 2)";
            var first = done(fleet.run(client, once(1, "r1", sql)));
            assertEquals(List.of(2L, false), List.of(first.updated(), first.repeated()));
            await(() -> fleet.status(1).position().equals(first.position()));
            int primary = promoted ? 1 : 0;
            long term = promoted ? 2 : 1;
            if (promoted) {
                fleet.fence(0, 2);
                fleet.promote(1, 2);
            }
            try (DatabaseClient second = fleet.open(primary, 1)) {
                var again = done(fleet.run(second, once(term, "r1", sql)));
                assertEquals(List.of(2L, true), List.of(again.updated(), again.repeated()));
                done(fleet.run(second, once(term, "r2", "INSERT INTO t VALUES (3, 3)")));
                assertEquals(integer(3), fleet.value(primary, 1, term, COUNT));
            }
        }
    }

    /** Guards against an outcome that is stored although its statement failed. */
    @Test
    void failedRequestCanBeSentAgain() throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            assertRefused("sql_error", fleet.run(client, once(1, "r", "INSERT INTO t VALUES (1)")));
            var second = done(fleet.run(client, once(1, "r", "INSERT INTO t VALUES (1, 1)")));
            assertEquals(false, second.repeated());
        }
    }

    /** Guards against reads that write, within and outside of transactions. */
    @ParameterizedTest
    @MethodSource("changes")
    void readThatWritesIsRefused(String sql, boolean inTransaction) throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            done(fleet.run(client, write(1, "CREATE SEQUENCE s")));
            done(fleet.run(client, write(1, INSERT, integer(1), integer(7))));
            if (inTransaction) {
                done(fleet.run(client, new DatabaseCommand.Begin(1)));
            }
            var refused =
                    assertInstanceOf(
                            DatabaseResult.Refused.class, fleet.run(client, read(1, sql)), sql);
            assertEquals(Verdict.NOT_RUN, refused.failure().verdict());
            if (inTransaction) {
                done(fleet.run(client, new DatabaseCommand.Commit(1)));
            }
            assertEquals(at(1, 3), fleet.status(0).position());
            assertEquals(integer(7), fleet.value(0, 1, 1, "SELECT CAST(SUM(n) AS BIGINT) FROM t"));
            assertEquals(
                    integer(1),
                    done(fleet.run(client, write(1, "SELECT NEXT VALUE FOR s")))
                            .rows()
                            .get(0)
                            .get(0));
        }
    }

    static Stream<org.junit.jupiter.params.provider.Arguments> changes() {
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

    /** Guards against transactions of a lost leaseholder that stay open or commit. */
    @Test
    void newerEpochRollsBackOlderSessions() throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT);
                DatabaseClient older = fleet.open(0, 1)) {
            done(fleet.run(older, write(1, INSERT, integer(1), integer(0))));
            done(fleet.run(older, new DatabaseCommand.Begin(1)));
            done(fleet.run(older, write(1, "UPDATE t SET n = 5")));
            try (DatabaseClient newer = fleet.open(0, 2)) {
                done(fleet.run(newer, write(1, "UPDATE t SET n = n + 1")));
                assertEquals(integer(1), fleet.value(0, 2, 1, "SELECT n FROM t"));
                var late = fleet.run(older, new DatabaseCommand.Commit(1));
                assertInstanceOf(DatabaseResult.Lost.class, late);
                var refused =
                        org.junit.jupiter.api.Assertions.assertThrows(
                                ExecutionException.class, () -> fleet.open(0, 1));
                assertTrue(refused.getMessage().contains("old_epoch"), refused::getMessage);
            }
        }
    }

    /** Guards against a statement of a lost leaseholder that commits after the next one came. */
    @Test
    void runningStatementOfOlderEpochDoesNotCommit() throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT.withStatementMillis(200));
                DatabaseClient older = fleet.open(0, 1)) {
            var running = older.run(once(1, "r", "INSERT INTO t VALUES (1, 0)"), Fleet.TIMEOUT);
            await(() -> fleet.standIn(0).counters().fieldNames().contains("requestId"));
            try (DatabaseClient newer = fleet.open(0, 2)) {
                assertInstanceOf(DatabaseResult.Lost.class, running.get(10, TimeUnit.SECONDS));
                await(() -> fleet.standIn(0).sessions(DATABASE) == 1);
                assertEquals(at(1, 1), fleet.status(0).position());
                assertEquals(
                        integer(0), done(fleet.run(newer, read(1, COUNT))).rows().get(0).get(0));
            }
        }
    }

    /** Guards against limits that a client can exceed without a trace. */
    @Test
    void limitsAreVisible() throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT.withStatementMillis(300))) {
            await(() -> fleet.standIn(0).sessions(DATABASE) == 0);
            List<DatabaseClient> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                clients.add(fleet.open(0, 1));
            }
            var tooMany =
                    org.junit.jupiter.api.Assertions.assertThrows(
                            ExecutionException.class, () -> fleet.open(0, 1));
            assertTrue(tooMany.getMessage().contains("too_many_connections"));
            List<CompletableFuture<DatabaseResult>> results =
                    clients.stream().map(c -> c.run(read(1, COUNT), Fleet.TIMEOUT)).toList();
            long refused = 0;
            for (CompletableFuture<DatabaseResult> result : results) {
                if (result.get(10, TimeUnit.SECONDS) instanceof DatabaseResult.Refused r) {
                    assertTrue(r.failure().message().startsWith("too_many_statements"));
                    refused++;
                }
            }
            Counters counters = fleet.standIn(0).counters();
            assertEquals(2, refused);
            assertEquals(2, counters.refusals(DATABASE, "too_many_statements"));
            assertEquals(1, counters.refusals(DATABASE, "too_many_connections"));
            assertEquals(2, counters.mostStatements(DATABASE));
            assertEquals(4, counters.mostConnections(DATABASE));
            assertEquals(2, counters.ran(COUNT));
            assertEquals(0, counters.mostStatements("refills"));
            assertTrue(counters.fieldNames().contains("parameters"));
            assertTrue(counters.headerNames().contains("content-type"));
            clients.forEach(DatabaseClient::close);
            await(() -> fleet.standIn(0).sessions(DATABASE) == 0);
        }
    }

    /** Guards against transactions that are visible or replicated in part. */
    @ParameterizedTest
    @CsvSource({"true, 2, 3", "false, 0, 1"})
    void transactionIsOneEntry(boolean commit, long rows, long index) throws Exception {
        try (Fleet fleet = Fleet.withPrimary(2, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1);
                DatabaseClient other = fleet.open(0, 1)) {
            done(fleet.run(client, new DatabaseCommand.Begin(1)));
            done(fleet.run(client, write(1, INSERT, integer(1), integer(0))));
            done(fleet.run(client, write(1, INSERT, integer(2), integer(0))));
            var own = done(fleet.run(client, read(1, COUNT)));
            assertEquals(integer(2), own.rows().get(0).get(0));
            assertEquals(integer(0), done(fleet.run(other, read(1, COUNT))).rows().get(0).get(0));
            done(
                    fleet.run(
                            client,
                            commit
                                    ? new DatabaseCommand.Commit(1)
                                    : new DatabaseCommand.Rollback()));
            if (commit) {
                done(fleet.run(client, write(1, "UPDATE t SET n = 1")));
            }
            assertEquals(at(1, index), fleet.status(0).position());
            await(() -> fleet.status(1).position().equals(at(1, index)));
            assertEquals(integer(rows), fleet.value(1, 1, 1, COUNT));
        }
    }

    /** Guards against values that change their type or precision on the way. */
    @ParameterizedTest
    @MethodSource("values")
    void valuesKeepTypeAndPrecision(String type, SqlValue value) throws Exception {
        try (Fleet fleet = Fleet.withPrimary(2, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            done(fleet.run(client, write(1, "CREATE TABLE v (x " + type + ")")));
            done(fleet.run(client, write(1, "INSERT INTO v VALUES (?)", value)));
            await(() -> fleet.status(1).position().equals(at(1, 3)));
            assertEquals(value, fleet.value(0, 1, 1, "SELECT x FROM v"));
            assertEquals(value, fleet.value(1, 1, 1, "SELECT x FROM v"));
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
