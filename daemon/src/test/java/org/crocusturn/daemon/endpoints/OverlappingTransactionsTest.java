package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a transaction that continues on the connection of an earlier one of its session,
 * and against connections that stay occupied.
 *
 * <p>The entry host gave up waiting for the first statement of the earlier transaction, which the
 * leaseholder had not finished, and the session began another transaction.
 */
class OverlappingTransactionsTest {
    private static final GroupId GROUP = GroupId.of("service", Service.SINGLE_DATABASE);
    private static final HostId ORIGIN = HostId.of("entry-2.1");
    private static final long SESSION = 7;

    private final FakeGroupContext mContext = new FakeGroupContext();
    private final Map<String, PooledSession> mConnectionByStatement = new LinkedHashMap<>();
    private LeasedGroup mGroup;

    /** Progress of the earlier transaction's first statement when its session ends it. */
    private enum Progress {
        QUEUED,
        OPENING,
        BEGINNING,
        RUNNING
    }

    @BeforeEach
    void createGroup() {
        mContext.mStatuses.put("p", new ReplicationStatus(true, 1, LogPosition.of(1, 10), 0));
        EndpointRecord primary =
                new EndpointRecord(
                        EndpointId.of("p"),
                        "service",
                        DataCentreId.of("dc"),
                        "127.0.0.1:1",
                        "",
                        List.of(new DatabaseRecord(Service.SINGLE_DATABASE, 4, 16)),
                        false,
                        1);
        mGroup =
                new LeasedGroup(
                        GROUP,
                        1,
                        new GroupSettings(
                                List.of(primary),
                                Set.of(),
                                16,
                                Duration.ofSeconds(3),
                                DataCentreId.of("dc"),
                                List.of(),
                                true,
                                new GroupSettings.Copies(1, 3, true)),
                        mContext);
        for (int i = 0; i < 3; i++) {
            mContext.mNowNanos += 20_000_000;
            mGroup.tick(mContext.mNowNanos);
            mContext.answerStatusCommands();
        }
        assertTrue(mGroup.failover().writablePrimary().isPresent());
    }

    static Stream<Arguments> overlaps() {
        return Stream.of(Progress.values())
                .flatMap(
                        progress ->
                                Stream.of(
                                        Arguments.of(progress, true, true),
                                        Arguments.of(progress, true, false),
                                        Arguments.of(progress, false, true),
                                        Arguments.of(progress, false, false)));
    }

    @ParameterizedTest(name = "first statement {0}, end arrives {1}, oldest result first {2}")
    @MethodSource("overlaps")
    void continuesOnTheConnectionOfItsOwnFirstStatement(
            Progress progress, boolean endArrives, boolean oldestFirst) {
        submitFirst(progress);
        if (endArrives) {
            mGroup.endWork(ORIGIN, SESSION);
        }
        submit(2, TransactionStep.BEGIN, StatementKind.WRITE);
        answerAll(oldestFirst);
        submit(3, TransactionStep.CONTINUE, StatementKind.COMMIT);
        answerAll(oldestFirst);

        assertEquals(Optional.empty(), mContext.mReplies.get(2L).failure());
        assertEquals(Optional.empty(), mContext.mReplies.get(3L).failure());
        assertEquals(mConnectionByStatement.get("id2"), mConnectionByStatement.get("id3"));
        assertTrue(mConnectionByStatement.get("id1") != mConnectionByStatement.get("id3"));
        assertEquals(0, mGroup.activeCount());
        assertEquals(0, occupiedConnections());
    }

    /** Guards against a transaction that stays open although its entry host is gone. */
    @ParameterizedTest
    @MethodSource("progresses")
    void rollsBackAfterTheOriginIsLost(Progress progress) {
        submitFirst(progress);
        mGroup.onOriginLost(ORIGIN);
        mContext.mTokenAvailable = true;
        mGroup.dispatch();
        answerAll(true);
        assertEquals(0, mGroup.activeCount());
        assertEquals(0, occupiedConnections());
    }

    static Stream<Progress> progresses() {
        return Stream.of(Progress.values());
    }

    private void submitFirst(Progress progress) {
        mContext.mTokenAvailable = progress != Progress.QUEUED;
        submit(1, TransactionStep.BEGIN, StatementKind.WRITE);
        mContext.mTokenAvailable = true;
        if (progress == Progress.BEGINNING || progress == Progress.RUNNING) {
            mContext.openAll();
        }
        if (progress == Progress.RUNNING) {
            answer(mContext.mSent.get(0));
        }
    }

    private void submit(long id, TransactionStep step, StatementKind kind) {
        mGroup.submit(
                ORIGIN,
                new SessionCall(
                        id,
                        SESSION,
                        GROUP,
                        1,
                        WorkspaceId.of("schools"),
                        new SessionCall.Options(Consistency.PRIMARY, 0, 1, 800),
                        step,
                        new SessionStatement("id" + id, kind, "x", "", kind + " x"),
                        Optional.empty(),
                        Map.of(),
                        LogPosition.ZERO));
    }

    /** Returns the number of connections of statements and rollbacks, without those of status. */
    private long occupiedConnections() {
        return mGroup.pools().stream()
                .flatMap(pool -> pool.sessions().stream())
                .flatMap(connection -> connection.task().stream())
                .filter(task -> task instanceof StatementRun || task instanceof RollbackTask)
                .count();
    }

    private void answerAll(boolean oldestFirst) {
        mContext.openAll();
        while (!mContext.mSent.isEmpty()) {
            List<FakeGroupContext.Sent> sent = new ArrayList<>(mContext.mSent);
            answer(sent.get(oldestFirst ? 0 : sent.size() - 1));
            mContext.openAll();
        }
    }

    private void answer(FakeGroupContext.Sent sent) {
        mContext.mSent.remove(sent);
        SessionResult.State state = SessionResult.State.TRANSACTION;
        if (sent.command() instanceof SessionCommand.Rollback) {
            state = SessionResult.State.IDLE;
        } else if (sent.command() instanceof SessionCommand.Run run) {
            mConnectionByStatement.put(run.statement().id(), sent.session());
            boolean commits = run.statement().kind() == StatementKind.COMMIT;
            state = commits ? SessionResult.State.IDLE : SessionResult.State.TRANSACTION;
        }
        sent.session()
                .task()
                .orElseThrow()
                .onResult(sent.session(), FakeGroupContext.done(state, 11));
    }
}
