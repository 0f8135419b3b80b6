package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.Fleet.await;
import static org.crocusturn.standin.database.Fleet.done;
import static org.crocusturn.standin.database.Fleet.integer;
import static org.crocusturn.standin.database.Fleet.read;
import static org.crocusturn.standin.database.Fleet.write;
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

/** Guards against wrong verdicts and answers that reach another request. */
class DatabaseClientTest {
    private static final Duration SHORT = Duration.ofMillis(400);
    private static final String INSERT = "INSERT INTO t VALUES (1, 1)";
    private static final String FILL =
            "INSERT INTO t SELECT a.x, a.x FROM SYSTEM_RANGE(1, 50) a (x)";
    private static final String SELECT = "SELECT n FROM t";

    /** Each fault loses the answer, and the client cannot know whether the statement ran. */
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
    void lostAnswerMayHaveRun(Fault.Kind kind, Access access, long rows) throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            fleet.standIn(0).fail(Fault.once(kind).withMillis(2 * SHORT.toMillis()));
            DatabaseCommand command = access == Access.WRITE ? write(1, INSERT) : read(1, SELECT);
            var lost =
                    assertInstanceOf(DatabaseResult.Lost.class, fleet.run(client, command, SHORT));
            assertEquals(Verdict.MAY_HAVE_RUN, lost.failure().verdict());
            await(() -> !client.isOpen());
            var closed = assertInstanceOf(DatabaseResult.Lost.class, fleet.run(client, command));
            assertEquals(Verdict.NOT_RUN, closed.failure().verdict());
            await(() -> fleet.standIn(0).sessions(Fleet.DATABASE) == 0);
            assertEquals(integer(rows), fleet.value(0, 1, 1, "SELECT COUNT(*) FROM t"));
            assertEquals(rows, fleet.standIn(0).counters().ran(INSERT));
        }
    }

    /** Guards against a client that cannot put together an answer of many small parts. */
    @ParameterizedTest
    @CsvSource({"SPLIT", "LATE"})
    void slowAnswerIsWhole(Fault.Kind kind) throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            done(fleet.run(client, write(1, FILL)));
            fleet.standIn(0).fail(Fault.once(kind).withMillis(100));
            long beforeNanos = System.nanoTime();
            var answer = done(fleet.run(client, read(1, "SELECT id, n FROM t ORDER BY id")));
            assertTrue(System.nanoTime() - beforeNanos >= 10_000_000, "the fault had no effect");
            assertEquals(50, answer.rows().size());
            assertEquals(integer(50), answer.rows().get(49).get(1));
            assertTrue(client.isOpen());
        }
    }

    /** Guards against a connection that mixes two commands. */
    @Test
    void secondCommandAtOnceIsNotRun() throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT.withStatementMillis(100));
                DatabaseClient client = fleet.open(0, 1)) {
            var first = client.run(write(1, INSERT), Fleet.TIMEOUT);
            var second =
                    assertInstanceOf(
                            DatabaseResult.Refused.class,
                            fleet.run(client, write(1, "INSERT INTO t VALUES (2, 2)")));
            assertEquals(Verdict.NOT_RUN, second.failure().verdict());
            done(first.get(10, java.util.concurrent.TimeUnit.SECONDS));
            assertEquals(integer(1), fleet.value(0, 1, 1, "SELECT COUNT(*) FROM t"));
        }
    }

    /** Guards against refusals that are reported as lost, or the reverse. */
    @ParameterizedTest
    @CsvSource({
        "2, INSERT INTO t VALUES (1), UNAVAILABLE",
        "1, INSERT INTO, DATABASE_REFUSED",
        "1, INSERT INTO t VALUES (1), DATABASE_REFUSED",
        "1, COMMIT, INTERNAL"
    })
    void refusedIsNotRun(long term, String sql, String code) throws Exception {
        try (Fleet fleet = Fleet.withPrimary(1, Behaviour.PROMPT);
                DatabaseClient client = fleet.open(0, 1)) {
            var refused =
                    assertInstanceOf(
                            DatabaseResult.Refused.class, fleet.run(client, write(term, sql)));
            assertEquals(code, refused.failure().code().name());
            assertEquals(Verdict.NOT_RUN, refused.failure().verdict());
            done(fleet.run(client, write(1, INSERT)));
        }
    }

    /** Guards against a pause of the stand-in that the client does not notice. */
    @Test
    void openTakesTheConnectTime() throws Exception {
        try (Fleet fleet = new Fleet(1, Behaviour.PROMPT.withConnectMillis(30))) {
            long beforeNanos = System.nanoTime();
            try (DatabaseClient client = fleet.open(0, 1)) {
                assertTrue(System.nanoTime() - beforeNanos >= 30_000_000, "opened too early");
                assertTrue(client.isOpen());
                fleet.standIn(0).close();
                await(() -> !client.isOpen());
                assertFalse(client.isOpen());
            }
        }
    }
}
