package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.StandInCluster.assertDone;
import static org.crocusturn.standin.database.StandInCluster.await;
import static org.crocusturn.standin.database.StandInCluster.integer;
import static org.crocusturn.standin.database.StandInCluster.read;
import static org.crocusturn.standin.database.StandInCluster.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.daemon.endpoints.DatabaseClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against wrong verdicts and answers that are attributed to the wrong request. */
class DatabaseClientTest {
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(400);
    private static final String INSERT = "INSERT INTO t VALUES (1, 1)";
    private static final String INSERT_50_ROWS =
            "INSERT INTO t SELECT a.x, a.x FROM SYSTEM_RANGE(1, 50) a (x)";
    private static final String SELECT = "SELECT n FROM t";

    /**
     * Guards against a definite verdict after a lost answer: the client cannot know whether the
     * statement ran.
     */
    @ParameterizedTest
    @CsvSource({
        "LATE, WRITE, 1",
        "CROSSED, WRITE, 1",
        "LOST, WRITE, 1",
        "DROP_BEFORE, WRITE, 0",
        "DROP_AFTER, WRITE, 1",
        "CROSSED, READ, 0",
        "DROP_BEFORE, READ, 0"
    })
    void lostAnswerReportsMayHaveRun(Fault.Kind kind, Access access, long rows) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            cluster.standIn(0)
                    .injectFaults(Fault.once(kind).withMillis(2 * SHORT_TIMEOUT.toMillis()));
            DatabaseCommand command = access == Access.WRITE ? write(1, INSERT) : read(1, SELECT);
            var lost =
                    assertInstanceOf(
                            DatabaseResult.Lost.class, cluster.run(client, command, SHORT_TIMEOUT));
            assertEquals(Verdict.MAY_HAVE_RUN, lost.failure().verdict());
            await(() -> !client.isOpen());
            var closed = assertInstanceOf(DatabaseResult.Lost.class, cluster.run(client, command));
            assertEquals(Verdict.NOT_RUN, closed.failure().verdict());
            await(() -> cluster.standIn(0).sessionCount(StandInCluster.DATABASE) == 0);
            assertEquals(integer(rows), cluster.readValue(0, 1, 1, "SELECT COUNT(*) FROM t"));
            assertEquals(rows, cluster.standIn(0).counters().executionCount(INSERT));
        }
    }

    /**
     * Guards against a client that cannot reassemble an answer that arrives in many small parts.
     */
    @ParameterizedTest
    @CsvSource({"SPLIT", "LATE"})
    void reassemblesSlowAnswer(Fault.Kind kind) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            assertDone(cluster.run(client, write(1, INSERT_50_ROWS)));
            cluster.standIn(0).injectFaults(Fault.once(kind).withMillis(100));
            long beforeNanos = System.nanoTime();
            var answer =
                    assertDone(cluster.run(client, read(1, "SELECT id, n FROM t ORDER BY id")));
            assertTrue(System.nanoTime() - beforeNanos >= 10_000_000, "the fault had no effect");
            assertEquals(50, answer.rows().size());
            assertEquals(integer(50), answer.rows().get(49).get(1));
            assertTrue(client.isOpen());
        }
    }

    /** Guards against a connection that interleaves two commands. */
    @Test
    void refusesConcurrentCommand() throws Exception {
        try (StandInCluster cluster =
                        StandInCluster.withPrimary(1, Behaviour.NORMAL.withStatementMillis(100));
                DatabaseClient client = cluster.open(0, 1)) {
            var first = client.run(write(1, INSERT), StandInCluster.TIMEOUT);
            var second =
                    assertInstanceOf(
                            DatabaseResult.Refused.class,
                            cluster.run(client, write(1, "INSERT INTO t VALUES (2, 2)")));
            assertEquals(Verdict.NOT_RUN, second.failure().verdict());
            assertDone(first.get(10, java.util.concurrent.TimeUnit.SECONDS));
            assertEquals(integer(1), cluster.readValue(0, 1, 1, "SELECT COUNT(*) FROM t"));
        }
    }

    /** Guards against refused commands that are reported as lost, or lost ones as refused. */
    @ParameterizedTest
    @CsvSource({
        "2, INSERT INTO t VALUES (1), UNAVAILABLE",
        "1, INSERT INTO, DATABASE_REFUSED",
        "1, INSERT INTO t VALUES (1), DATABASE_REFUSED",
        "1, COMMIT, INTERNAL"
    })
    void refusalReportsNotRun(long term, String sql, String code) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            var refused =
                    assertInstanceOf(
                            DatabaseResult.Refused.class, cluster.run(client, write(term, sql)));
            assertEquals(code, refused.failure().code().name());
            assertEquals(Verdict.NOT_RUN, refused.failure().verdict());
            assertDone(cluster.run(client, write(1, INSERT)));
        }
    }

    /**
     * Guards against a connect time without effect, and a closed connection that goes undetected.
     */
    @Test
    void openTakesConnectTimeAndCloseIsDetected() throws Exception {
        try (StandInCluster cluster =
                new StandInCluster(1, Behaviour.NORMAL.withConnectMillis(30))) {
            long beforeNanos = System.nanoTime();
            try (DatabaseClient client = cluster.open(0, 1)) {
                assertTrue(
                        System.nanoTime() - beforeNanos >= 30_000_000,
                        "the session opened before the connect time had elapsed");
                assertTrue(client.isOpen());
                cluster.standIn(0).close();
                await(() -> !client.isOpen());
                assertFalse(client.isOpen());
            }
        }
    }
}
