package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.CheckedFencing;
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.crocusturn.daemon.platform.Metrics;

/**
 * Runs statements of a group without callers and endpoints, so that the code of a leaseholder is
 * compiled before its host holds a lease.
 *
 * <p>A host that gets a lease under load otherwise needs its processor for the compiler for some
 * seconds, in which calls wait and are refused. Time is simulated, and nothing is logged.
 *
 * <p>Not thread-safe.
 */
final class GroupRehearsal implements GroupContext {
    private static final HostId HOST = HostId.of("rehearsal");
    private static final GroupId GROUP = GroupId.of("rehearsal", Service.SINGLE_DATABASE);
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("rehearsal");
    private static final String PRIMARY = "primary";
    private static final List<String> COPIES = List.of(PRIMARY, "replica-1", "replica-2");
    private static final int SLOTS = 2;
    private static final int CONNECTIONS = 24;
    private static final int WORKSPACES = 16;

    /** Answers that are outstanding; with fewer slots than that, calls wait. */
    private static final int OUTSTANDING = 8;

    private static final long OPERATION_NANOS = Duration.ofMillis(4).toNanos();
    private static final int OPERATIONS_PER_TICK = 5;
    private static final Duration TRANSACTION_LIMIT = Duration.ofSeconds(3);
    private static final long CALL_MILLIS = 1_200;

    private final Queue<Runnable> mAnswers = new ArrayDeque<>();
    private final Map<Long, SessionCall> mTransactions = new HashMap<>();
    private final Map<String, Integer> mRefused = new HashMap<>();
    private final Metrics mMetrics = Metrics.create();
    private final UsageMeter mUsage = new NoUsageMeter();
    private final LeasedGroup mGroup;
    private long mNowNanos;
    private long mIndex = 1;
    private long mLastCall;
    private long mLastSession;
    private int mOperations;
    private int mServed;

    GroupRehearsal() {
        mGroup = new LeasedGroup(GROUP, 1, settings(), this);
    }

    /** Returns the number of calls that failed, by message. */
    Map<String, Integer> refused() {
        return mRefused;
    }

    /** Returns the number of calls that were answered without a failure. */
    int served() {
        return mServed;
    }

    /** Submits some operations and answers all but the latest statements. */
    void run(int operations) {
        IntStream.range(0, operations).forEach(n -> runOperation());
    }

    private void runOperation() {
        mNowNanos += OPERATION_NANOS;
        if (mOperations % OPERATIONS_PER_TICK == 0) {
            mGroup.tick(mNowNanos);
        }
        submit(mOperations++);
        answerOldest();
        while (mAnswers.size() > OUTSTANDING) {
            answerOldest();
        }
    }

    private void answerOldest() {
        Optional.ofNullable(mAnswers.poll()).ifPresent(Runnable::run);
    }

    private void submit(int number) {
        switch (number % 6) {
            case 0 -> submit(TransactionStep.NONE, StatementKind.WRITE, Consistency.PRIMARY);
            case 1 -> submit(TransactionStep.BEGIN, StatementKind.WRITE, Consistency.PRIMARY);
            case 2 -> submit(TransactionStep.NONE, StatementKind.READ, Consistency.STATED_AGE);
            case 3 ->
                    submit(
                            TransactionStep.BEGIN_READ_ONLY,
                            StatementKind.READ,
                            Consistency.OWN_WRITES);
            default -> submit(TransactionStep.NONE, StatementKind.READ, Consistency.OWN_WRITES);
        }
    }

    private void submit(TransactionStep step, StatementKind kind, Consistency consistency) {
        WorkspaceId workspace = WorkspaceId.of("w" + mOperations * 7 % WORKSPACES);
        submit(mOperations, workspace, step, kind, consistency);
    }

    private void submit(
            long session,
            WorkspaceId workspace,
            TransactionStep step,
            StatementKind kind,
            Consistency consistency) {
        long id = ++mLastCall;
        SessionCall call =
                new SessionCall(
                        id,
                        session,
                        GROUP,
                        1,
                        workspace,
                        new SessionCall.Options(
                                consistency, CALL_MILLIS, consistency.ordinal(), CALL_MILLIS),
                        step,
                        new SessionStatement("s" + id, kind, "x", "", kind + " x"),
                        Optional.empty(),
                        Map.of(),
                        LogPosition.ZERO);
        if (step != TransactionStep.NONE && kind != StatementKind.COMMIT) {
            mTransactions.put(id, call);
        }
        mGroup.submit(HOST, call);
    }

    @Override
    public void reply(HostId origin, long call, SessionOutcome outcome) {
        SessionCall first = mTransactions.remove(call);
        outcome.failure().ifPresent(f -> mRefused.merge(f.message(), 1, Integer::sum));
        if (outcome.failure().isEmpty()) {
            mServed++;
            if (first != null) {
                mAnswers.add(() -> commit(first));
            }
        }
    }

    private void commit(SessionCall first) {
        submit(
                first.session(),
                first.workspace(),
                TransactionStep.CONTINUE,
                StatementKind.COMMIT,
                first.options().consistency());
    }

    private static GroupSettings settings() {
        return new GroupSettings(
                COPIES.stream().map(GroupRehearsal::record).toList(),
                Set.of(),
                CONNECTIONS,
                TRANSACTION_LIMIT,
                DATA_CENTRE,
                Stream.iterate(0, n -> n + 1)
                        .limit(WORKSPACES)
                        .map(n -> WorkspaceId.of("w" + n))
                        .toList(),
                true,
                new GroupSettings.Copies(1, COPIES.size(), true));
    }

    private static EndpointRecord record(String id) {
        return new EndpointRecord(
                EndpointId.of(id),
                GROUP.service(),
                DATA_CENTRE,
                "127.0.0.1:1",
                "",
                List.of(new DatabaseRecord(Service.SINGLE_DATABASE, SLOTS, CONNECTIONS)),
                false,
                1);
    }

    /** Answers the commands of one connection. */
    private final class Connection implements EndpointSession {
        private final PooledSession mSession;
        private SessionResult.State mState = SessionResult.State.IDLE;

        private Connection(PooledSession session) {
            mSession = session;
        }

        @Override
        public void send(SessionCommand command) {
            mAnswers.add(() -> answer(command));
        }

        @Override
        public void close() {
            mState = SessionResult.State.IDLE;
        }

        private void answer(SessionCommand command) {
            if (!mSession.copy().sessions().contains(mSession)) {
                return;
            }
            boolean commits = command instanceof SessionCommand.Run run && commits(run);
            if (command instanceof SessionCommand.Begin) {
                mState = SessionResult.State.TRANSACTION;
            } else if (commits || command instanceof SessionCommand.Rollback) {
                mState = SessionResult.State.IDLE;
            }
            mIndex += commits ? 1 : 0;
            SessionResult result = result(command instanceof SessionCommand.GetStatus);
            mSession.recordResult(result);
            mSession.task().ifPresent(task -> task.onResult(mSession, result));
        }

        private boolean commits(SessionCommand.Run run) {
            return run.statement().kind() == StatementKind.COMMIT
                    || run.statement().kind() == StatementKind.WRITE
                            && mState == SessionResult.State.IDLE;
        }

        private SessionResult result(boolean status) {
            LogPosition position = LogPosition.of(1, mIndex);
            boolean primary = mSession.copy().record().id().value().equals(PRIMARY);
            return new SessionResult(
                    List.of(),
                    "x",
                    Optional.empty(),
                    "",
                    mState,
                    Optional.of(position),
                    status
                            ? Optional.of(new ReplicationStatus(primary, 1, position, 0))
                            : Optional.empty());
        }
    }

    @Override
    public PooledSession open(
            CopyPool copy, WorkspaceId workspace, Duration timeout, SessionTask task) {
        PooledSession session = new PooledSession(++mLastSession, copy, workspace);
        session.setConnection(new Connection(session));
        session.assign(task, mNowNanos);
        copy.add(session);
        mAnswers.add(
                () -> {
                    if (copy.sessions().contains(session)) {
                        session.markOpen();
                        session.task().ifPresent(t -> t.onOpened(session));
                    }
                });
        return session;
    }

    @Override
    public void close(PooledSession session) {
        session.copy().remove(session);
        session.close();
    }

    @Override
    public long nowNanos() {
        return mNowNanos;
    }

    @Override
    public boolean leaseValid(GroupId group) {
        return true;
    }

    @Override
    public boolean hasToken(WorkspaceId workspace) {
        return true;
    }

    @Override
    public Optional<Long> tokenWaitNanos(WorkspaceId workspace) {
        return Optional.empty();
    }

    @Override
    public void takeToken(WorkspaceId workspace) {
        // The supply of tokens is unlimited.
    }

    @Override
    public Metrics metrics() {
        return mMetrics;
    }

    @Override
    public UsageMeter usage() {
        return mUsage;
    }

    @Override
    public void promote(GroupId group, EndpointId endpoint, long fence) {
        // The primary never changes.
    }

    @Override
    public boolean mayPromote(GroupId group, long fence) {
        return false;
    }

    @Override
    public PromotionFencing fencing() {
        return new CheckedFencing();
    }

    @Override
    public void returnLease(GroupId group) {
        // The lease is always valid.
    }

    @Override
    public void logEvent(String line) {
        // Nothing happens to callers.
    }

    @Override
    public void logDecision(String line) {
        // Nothing happens to callers.
    }
}
