package org.crocusturn.standin.database;

import static org.crocusturn.standin.database.StandInCluster.assertDone;
import static org.crocusturn.standin.database.StandInCluster.await;
import static org.crocusturn.standin.database.StandInCluster.integer;
import static org.crocusturn.standin.database.StandInCluster.read;
import static org.crocusturn.standin.database.StandInCluster.write;
import static org.crocusturn.standin.database.StandInCluster.writeOnce;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.daemon.endpoints.DatabaseClient;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer that comes a second time and is given to the next request. */
class RepeatedAnswerTest {
    private static final long STATEMENT_MILLIS = 60;
    private static final List<List<SqlValue>> OWN = List.of(List.of(new SqlValue.TextValue("own")));
    private static final DatabaseCommand NEXT = read(1, "SELECT 'own'");

    /** Commands whose answers are repeated. */
    private static final List<DatabaseCommand> COMMANDS =
            List.of(
                    read(1, "SELECT 'other'"),
                    write(1, "INSERT INTO t VALUES (1, 1)"),
                    write(1, "INSERT INTO"),
                    new DatabaseCommand.Begin(1),
                    new DatabaseCommand.Commit(1),
                    new DatabaseCommand.Rollback());

    static Stream<Arguments> repetitions() {
        return COMMANDS.stream()
                .flatMap(
                        command ->
                                Stream.of(0, 20, 200)
                                        .flatMap(
                                                delay ->
                                                        Stream.of(0, 100)
                                                                .map(
                                                                        pause ->
                                                                                Arguments.of(
                                                                                        command,
                                                                                        delay,
                                                                                        pause))));
    }

    /**
     * The answer comes again after the delay; the next request follows after the pause, so that the
     * repetition arrives while the connection is idle, while the request runs or after it.
     */
    @ParameterizedTest
    @MethodSource("repetitions")
    void givesNextRequestItsOwnAnswer(DatabaseCommand command, long delay, long pause)
            throws Exception {
        try (StandInCluster cluster =
                        StandInCluster.withPrimary(
                                1, Behaviour.NORMAL.withStatementMillis(STATEMENT_MILLIS));
                DatabaseClient client = cluster.open(0, 1)) {
            cluster.standIn(0).injectFaults(Fault.once(Fault.Kind.REPEATED).withMillis(delay));
            cluster.run(client, command);
            pause(pause);
            long ranBefore = cluster.standIn(0).counters().executionCount("SELECT 'own'");
            DatabaseResult next = cluster.run(client, NEXT);
            if (next instanceof DatabaseResult.Done done) {
                assertEquals(OWN, done.rows());
            } else {
                var lost = assertInstanceOf(DatabaseResult.Lost.class, next, next::toString);
                await(() -> !client.isOpen());
                if (lost.failure().verdict() == Verdict.NOT_RUN) {
                    pause(2 * STATEMENT_MILLIS);
                    long ran = cluster.standIn(0).counters().executionCount("SELECT 'own'");
                    assertEquals(ranBefore, ran, "answered not_run, but ran");
                }
            }
        }
    }

    /** Guards against a replica that does not recover from answers which it cannot use. */
    @ParameterizedTest
    @CsvSource({"REPEATED, 0", "REPEATED, 30", "REPEATED, 300", "CROSSED, 0", "CUT, 0"})
    void replicaCatchesUpAfterFaultyAnswers(Fault.Kind kind, long delay) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(2, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            IntStream.rangeClosed(1, 40)
                    .forEach(
                            n -> {
                                cluster.standIn(0)
                                        .injectFaults(
                                                Fault.once(kind)
                                                        .withRoute("/v1/replication")
                                                        .withMillis(delay));
                                insert(cluster, client, n);
                            });
            cluster.standIn(0).injectFaults();
            await(() -> cluster.status(1).position().equals(cluster.status(0).position()));
            assertEquals(integer(40), cluster.readValue(1, 1, 1, "SELECT COUNT(*) FROM t"));
            assertEquals(
                    integer(820),
                    cluster.readValue(1, 1, 1, "SELECT CAST(SUM(n) AS BIGINT) FROM t"));
        }
    }

    /** Guards against a cut answer that is taken for a whole one. */
    @ParameterizedTest
    @ValueSource(strings = {"/v1/run", "/v1/run-once"})
    void cutAnswerReportsMayHaveRun(String route) throws Exception {
        String insert = "INSERT INTO t VALUES (1, 1)";
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL);
                DatabaseClient client = cluster.open(0, 1)) {
            cluster.standIn(0).injectFaults(Fault.once(Fault.Kind.CUT).withRoute(route));
            DatabaseCommand command =
                    route.equals("/v1/run") ? write(1, insert) : writeOnce(1, "r-1", insert);
            DatabaseResult result = cluster.run(client, command);
            var lost = assertInstanceOf(DatabaseResult.Lost.class, result, result::toString);
            assertEquals(Verdict.MAY_HAVE_RUN, lost.failure().verdict());
            assertEquals(integer(1), cluster.readValue(0, 1, 1, "SELECT COUNT(*) FROM t"));
        }
    }

    /** Guards against a session that is used although its opening was not confirmed. */
    @ParameterizedTest
    @EnumSource(
            value = Fault.Kind.class,
            names = {"CUT", "CROSSED", "DROP_AFTER"})
    void opensNoSessionWithoutItsAnswer(Fault.Kind kind) throws Exception {
        try (StandInCluster cluster = StandInCluster.withPrimary(1, Behaviour.NORMAL)) {
            cluster.standIn(0).injectFaults(Fault.once(kind).withRoute("/v1/session"));
            assertThrows(ExecutionException.class, () -> cluster.open(0, 1));
            await(() -> cluster.standIn(0).sessionCount(StandInCluster.DATABASE) == 0);
        }
    }

    private static void insert(StandInCluster cluster, DatabaseClient client, int number) {
        try {
            String sql = "INSERT INTO t VALUES (" + number + ", " + number + ")";
            assertDone(cluster.run(client, write(1, sql)));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static void pause(long millis) {
        long until = System.nanoTime() + Duration.ofMillis(millis).toNanos();
        await(() -> System.nanoTime() - until >= 0);
    }
}
