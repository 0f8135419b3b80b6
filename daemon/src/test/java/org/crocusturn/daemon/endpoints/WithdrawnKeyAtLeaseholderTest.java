package org.crocusturn.daemon.endpoints;

import static org.crocusturn.daemon.callers.ConfiguredViews.FIRST;
import static org.crocusturn.daemon.callers.ConfiguredViews.GROUP;
import static org.crocusturn.daemon.callers.ConfiguredViews.SECOND;
import static org.crocusturn.daemon.callers.ConfiguredViews.key;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionState;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.Service;
import org.crocusturn.daemon.callers.ConfiguredViews;
import org.crocusturn.daemon.callers.SessionChannel;
import org.crocusturn.daemon.callers.SessionDispatcher;
import org.crocusturn.daemon.callers.SessionEvent;
import org.crocusturn.daemon.callers.SessionsDuty;
import org.crocusturn.daemon.platform.Metrics;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against work that goes on for a key which was withdrawn, against an answer that is not
 * true, and against a transaction that stays open at its endpoint. The table of docs/design.md,
 * 5.9.
 *
 * <p>Runs the sessions of an entry host against the group of a leaseholder, in the same process or
 * behind a link that delays all messages until the withdrawal is known.
 */
class WithdrawnKeyAtLeaseholderTest {
    private static final long CALLER = 1;
    private static final long NEXT_CALLER = 2;
    private static final String OTHER_KEY = "b".repeat(64);
    private static final long TICK_NANOS = 20_000_000;

    private final ConfiguredViews mViews = new ConfiguredViews();
    private final FakeGroupContext mContext = new FakeGroupContext();
    private final Deque<Runnable> mMessages = new ArrayDeque<>();
    private final List<String> mAnswers = new ArrayList<>();
    private final SessionsDuty mDuty =
            SessionsDuty.create(
                    mViews.empty(),
                    new DelayedDispatcher(),
                    (phase, count) -> {},
                    () -> true,
                    Duration.ZERO,
                    Metrics.create());
    private LeasedGroup mGroup;
    private HostId mOrigin;
    private boolean mLinkUp = true;

    /** What takes the access of the session away. */
    private enum Change {
        KEY_WITHDRAWN,
        WORKSPACE_REMOVED,
        KEY_MOVED
    }

    /** Where the leaseholder runs. */
    private enum Place {
        SAME_PROCESS,
        OTHER_HOST
    }

    /** How far the work of the session has come, and what the caller gets then. */
    private enum Progress {
        IDLE("", "KEY_REFUSED IDLE"),
        BEGUN("", "KEY_REFUSED FAILED"),
        WAITING_FOR_LEASEHOLDER("KEY_REFUSED IDLE", "KEY_REFUSED IDLE"),
        QUEUED("KEY_REFUSED IDLE", "KEY_REFUSED IDLE"),
        QUEUED_IN_TRANSACTION("KEY_REFUSED FAILED", "MALFORMED_REQUEST FAILED"),
        CONNECTING("KEY_REFUSED IDLE", "KEY_REFUSED IDLE"),
        CONNECTING_IN_TRANSACTION("KEY_REFUSED FAILED", "MALFORMED_REQUEST FAILED"),
        BEGINNING("KEY_REFUSED FAILED", "MALFORMED_REQUEST FAILED"),
        RUNNING("done IDLE", "KEY_REFUSED IDLE"),
        RUNNING_FIRST("done OPEN", "KEY_REFUSED FAILED"),
        BETWEEN_STATEMENTS("", "KEY_REFUSED FAILED"),
        RUNNING_LATER("done OPEN", "KEY_REFUSED FAILED"),
        REPEATING_LATER("KEY_REFUSED FAILED", "MALFORMED_REQUEST FAILED"),
        COMMITTING("done IDLE", "KEY_REFUSED IDLE"),
        REPEATING_COMMIT("KEY_REFUSED IDLE", "KEY_REFUSED IDLE"),
        FAILED("", "MALFORMED_REQUEST FAILED");

        private final String mAnswer;
        private final String mNextAnswer;

        Progress(String answer, String nextAnswer) {
            mAnswer = answer;
            mNextAnswer = nextAnswer;
        }

        /** Returns whether an endpoint has a command of the session to answer. */
        private boolean isAtEndpoint() {
            return Set.of(BEGINNING, RUNNING, RUNNING_FIRST, RUNNING_LATER, COMMITTING)
                    .contains(this);
        }

        private boolean inTransaction() {
            return !Set.of(IDLE, WAITING_FOR_LEASEHOLDER, QUEUED, CONNECTING, RUNNING)
                    .contains(this);
        }
    }

    static Stream<Arguments> rows() {
        return Arrays.stream(Progress.values())
                .flatMap(
                        progress ->
                                progress.inTransaction()
                                        ? Stream.of(
                                                Arguments.of(progress, StatementKind.BEGIN),
                                                Arguments.of(
                                                        progress, StatementKind.BEGIN_READ_ONLY))
                                        : Stream.of(Arguments.of(progress, StatementKind.BEGIN)))
                .flatMap(
                        row ->
                                Arrays.stream(Change.values())
                                        .flatMap(
                                                change ->
                                                        Arrays.stream(Place.values())
                                                                .map(
                                                                        place ->
                                                                                Arguments.of(
                                                                                        row.get()[
                                                                                                0],
                                                                                        row.get()[
                                                                                                1],
                                                                                        change,
                                                                                        place))));
    }

    @BeforeEach
    void createGroup() {
        mContext.mStatuses.put("p", new ReplicationStatus(true, 1, LogPosition.of(1, 10), 0));
        EndpointRecord primary =
                new EndpointRecord(
                        EndpointId.of("p"),
                        GROUP.service(),
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
            tick();
            mContext.answerStatusCommands();
        }
        assertTrue(mGroup.failover().writablePrimary().isPresent());
    }

    @ParameterizedTest(name = "{0} after {1}, {2}, {3}")
    @MethodSource("rows")
    void endsTheWorkOfTheSession(
            Progress progress, StatementKind begin, Change change, Place place) {
        mOrigin = HostId.of(place == Place.SAME_PROCESS ? "host-1" : "host-2");
        configure(1, Change.KEY_WITHDRAWN, true);
        open(CALLER, ConfiguredViews.KEY);
        reach(progress, begin);
        mAnswers.clear();
        if (place == Place.SAME_PROCESS) {
            deliver();
        }

        configure(2, change, false);
        deliver();
        assertEquals(progress.isAtEndpoint() ? "" : progress.mAnswer, String.join(", ", mAnswers));
        answerEndpoint();
        assertEquals(progress.mAnswer, String.join(", ", mAnswers));
        assertEquals(0, mGroup.activeCount(), "calls and transactions at the leaseholder");
        assertEquals(0, occupiedConnections());
        mAnswers.clear();
        submit(CALLER, StatementKind.READ);
        deliver();
        assertEquals(List.of(progress.mNextAnswer), mAnswers);
        assertEquals(List.of(), mContext.mSent, "commands for a withdrawn key");

        if (change != Change.WORKSPACE_REMOVED) {
            usesConnectionsAfterwards();
        }
    }

    /** The connection of an ended transaction serves the next session outside of it. */
    private void usesConnectionsAfterwards() {
        mAnswers.clear();
        mLinkUp = true;
        mContext.mTokenAvailable = true;
        open(NEXT_CALLER, OTHER_KEY);
        submit(NEXT_CALLER, StatementKind.READ);
        deliver();
        mContext.openAll();
        assertEquals(
                List.of(SessionCommand.Run.class),
                mContext.mSent.stream().map(sent -> sent.command().getClass()).toList());
        answerEndpoint();
        assertEquals(List.of("accepted", "done IDLE"), mAnswers);
    }

    /** Brings the session to a point of its work; messages may be on their way then. */
    private void reach(Progress progress, StatementKind begin) {
        if (progress.inTransaction()) {
            submit(CALLER, begin);
        }
        mLinkUp = progress != Progress.WAITING_FOR_LEASEHOLDER;
        mContext.mTokenAvailable =
                progress != Progress.QUEUED && progress != Progress.QUEUED_IN_TRANSACTION;
        switch (progress) {
            case IDLE, BEGUN -> {}
            case WAITING_FOR_LEASEHOLDER -> submit(CALLER, StatementKind.READ);
            case QUEUED, QUEUED_IN_TRANSACTION, CONNECTING, CONNECTING_IN_TRANSACTION ->
                    submitAndDeliver(StatementKind.READ);
            case BEGINNING, RUNNING -> {
                submitAndDeliver(StatementKind.READ);
                mContext.openAll();
            }
            case RUNNING_FIRST -> {
                submitAndDeliver(StatementKind.READ);
                mContext.openAll();
                answerFirst();
            }
            default -> {
                submitAndDeliver(StatementKind.READ);
                answerEndpoint();
                reachLater(progress);
            }
        }
    }

    private void reachLater(Progress progress) {
        boolean commits = progress == Progress.COMMITTING || progress == Progress.REPEATING_COMMIT;
        if (progress == Progress.FAILED) {
            submit(CALLER, StatementKind.UNKNOWN);
        } else if (progress != Progress.BETWEEN_STATEMENTS) {
            submitAndDeliver(commits ? StatementKind.COMMIT : StatementKind.READ);
        }
        if (progress == Progress.REPEATING_LATER || progress == Progress.REPEATING_COMMIT) {
            mContext.answer(
                    SessionCommand.Run.class,
                    FakeGroupContext.failed(
                            EndpointError.OVERLOADED, SessionResult.State.TRANSACTION));
        }
    }

    private void open(long session, String hash) {
        mDuty.onEvent(
                new SessionEvent.OpenRequested(
                        session, new RecordingChannel(), ConfiguredViews.DATABASE, hash));
    }

    private void submit(long session, StatementKind kind) {
        mDuty.onEvent(
                new SessionEvent.StatementReceived(
                        session, new SessionStatement("id", kind, "x", "", kind + " x")));
    }

    private void submitAndDeliver(StatementKind kind) {
        submit(CALLER, kind);
        deliver();
    }

    /** Applies a configuration with the key of the caller, or after a change of it. */
    private void configure(long version, Change change, boolean inForce) {
        KeyRecord other = new KeyRecord("other", OTHER_KEY, FIRST);
        List<KeyRecord> keys =
                switch (change) {
                    case KEY_WITHDRAWN -> inForce ? List.of(key(FIRST), other) : List.of(other);
                    case WORKSPACE_REMOVED -> List.of();
                    case KEY_MOVED -> List.of(key(SECOND), other);
                };
        List<WorkspaceId> workspaces =
                change == Change.WORKSPACE_REMOVED ? List.of(SECOND) : List.of(FIRST, SECOND);
        mDuty.onEvent(
                new SessionEvent.ViewChanged(
                        mViews.change(version, workspaces, keys, Optional.of(false))));
    }

    /** Delivers the messages between the hosts, in order and in both directions. */
    private void deliver() {
        while (!mMessages.isEmpty() || !mContext.mReplies.isEmpty()) {
            if (!mMessages.isEmpty()) {
                mMessages.remove().run();
            }
            List.copyOf(mContext.mReplies.keySet())
                    .forEach(
                            id -> {
                                SessionOutcome outcome = mContext.mReplies.remove(id);
                                mDuty.onEvent(
                                        new SessionEvent.ReplyReceived(
                                                new SessionReply(id, outcome)));
                            });
        }
    }

    private void tick() {
        mContext.mNowNanos += TICK_NANOS;
        mGroup.tick(mContext.mNowNanos);
    }

    /** Opens connections and answers commands until none is outstanding. */
    private void answerEndpoint() {
        mContext.openAll();
        while (!mContext.mSent.isEmpty()) {
            answerFirst();
            mContext.openAll();
        }
        deliver();
    }

    private void answerFirst() {
        FakeGroupContext.Sent sent = mContext.mSent.remove(0);
        boolean idle =
                sent.command() instanceof SessionCommand.Rollback
                        || sent.command() instanceof SessionCommand.Run run
                                && (run.statement().kind() == StatementKind.COMMIT
                                        || !inTransaction(sent.session()));
        sent.session()
                .task()
                .orElseThrow()
                .onResult(
                        sent.session(),
                        FakeGroupContext.done(
                                idle ? SessionResult.State.IDLE : SessionResult.State.TRANSACTION,
                                11));
    }

    private static boolean inTransaction(PooledSession connection) {
        return connection
                .task()
                .filter(StatementRun.class::isInstance)
                .flatMap(task -> ((StatementRun) task).transaction())
                .isPresent();
    }

    /** Returns the number of connections of statements and rollbacks, without those of status. */
    private long occupiedConnections() {
        return mGroup.pools().stream()
                .flatMap(pool -> pool.sessions().stream())
                .flatMap(connection -> connection.task().stream())
                .filter(task -> task instanceof StatementRun || task instanceof RollbackTask)
                .count();
    }

    /** Records what the callers see. */
    private final class RecordingChannel implements SessionChannel {
        @Override
        public void accept() {
            mAnswers.add("accepted");
        }

        @Override
        public void refuse(Failure failure) {
            mAnswers.add("refused " + failure.code());
        }

        @Override
        public void answer(
                SessionStatement statement, SessionOutcome outcome, SessionState.Phase phase) {
            String open = phase.name().startsWith("OPEN") ? "OPEN" : phase.name();
            mAnswers.add(
                    outcome.failure().map(f -> f.code().toString()).orElse("done") + " " + open);
        }

        @Override
        public void closeIfIdle(long handled) {
            mAnswers.add("closed");
        }

        @Override
        public void close() {
            mAnswers.add("closed");
        }
    }

    /** Delivers calls and ends to the group when the test says so. */
    private final class DelayedDispatcher implements SessionDispatcher {
        @Override
        public boolean call(Leaseholder holder, SessionCall call) {
            if (mLinkUp) {
                mMessages.add(() -> mGroup.submit(mOrigin, call));
            }
            return mLinkUp;
        }

        @Override
        public void end(Leaseholder holder, SessionEnd end) {
            mMessages.add(() -> mGroup.endWork(mOrigin, end.session()));
        }
    }
}
