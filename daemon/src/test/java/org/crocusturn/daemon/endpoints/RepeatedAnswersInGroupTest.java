package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.PreparedShape;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.endpoints.AnswerMatch;
import org.crocusturn.core.endpoints.AnswerMatcher;
import org.crocusturn.core.endpoints.CheckedFencing;
import org.crocusturn.core.endpoints.EndpointAnswer;
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.MeteredRequests;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against answers of other statements (MIXED), statements outside of their transaction or
 * with other session values (PINNED), and false promises (REFUSED), when endpoints give answers
 * twice and fail some commands; and against statements that ran without being metered, or did not
 * run and were. The log of the group advances with its writes only.
 */
class RepeatedAnswersInGroupTest {
    private static final GroupId GROUP = GroupId.of("taftish-db", Service.SINGLE_DATABASE);
    private static final HostId ORIGIN = HostId.of("entry-2.1");
    private static final int SESSIONS = 8;
    private static final int MILLIS = 4_000;
    private static final int REPEATED_PERCENT = 20;
    private static final int MAX_REPEAT_MILLIS = 300;
    private static final int MAX_RUN_MILLIS = 6;
    private static final double USAGE_TOLERANCE = 0.05;

    private Random mRandom;
    private Simulation mSimulation;
    private LeasedGroup mGroup;
    private final List<Client> mClients = new ArrayList<>();
    private final Map<String, SimulatedEndpoint.Expectation> mExpectations = new HashMap<>();
    private final Map<Long, Client> mCalls = new HashMap<>();
    private final Set<String> mPromised = new HashSet<>();
    private final Set<String> mAcknowledged = new HashSet<>();
    private final Map<String, Integer> mOutcomes = new TreeMap<>();

    /** Whether sessions set values while their transactions are open. */
    private boolean mSetsValuesInTransactions;

    /** Whether endpoints give no answer to some rollbacks. */
    private boolean mLosesRollbackAnswers;

    /** An answer on its way, and when it arrives. */
    private record Arrival(long millis, EndpointAnswer answer) {}

    /** A connection to an endpoint with the matcher that decodes its answers. */
    private final class Connection implements EndpointSession {
        private final PooledSession mSession;
        private final SimulatedEndpoint mEndpoint;
        private final Deque<SessionCommand> mCommands = new ArrayDeque<>();
        private final List<Arrival> mRepetitions = new ArrayList<>();
        private AnswerMatcher mMatcher = AnswerMatcher.start();
        private long mBusyUntilMillis;

        Connection(PooledSession session, SimulatedEndpoint endpoint) {
            mSession = session;
            mEndpoint = endpoint;
        }

        @Override
        public void send(SessionCommand command) {
            mMatcher = mMatcher.withSent(command);
            mCommands.add(command);
        }

        @Override
        public void close() {
            mSimulation.mConnections.remove(this);
        }

        private boolean isClosed() {
            return !mSimulation.mConnections.contains(this);
        }

        void step(long millis) {
            List<Arrival> due = mRepetitions.stream().filter(r -> r.millis() <= millis).toList();
            mRepetitions.removeAll(due);
            due.forEach(arrival -> receive(arrival.answer()));
            if (!isClosed() && !mCommands.isEmpty() && mBusyUntilMillis <= millis) {
                boolean rollback = mCommands.element() instanceof SessionCommand.Rollback;
                EndpointAnswer answer = mEndpoint.run(mCommands.remove(), mExpectations);
                mBusyUntilMillis = millis + 1 + mRandom.nextInt(MAX_RUN_MILLIS);
                if (rollback && mLosesRollbackAnswers && mRandom.nextInt(4) == 0) {
                    return;
                }
                if (mRandom.nextInt(100) < REPEATED_PERCENT) {
                    mRepetitions.add(
                            new Arrival(millis + 1 + mRandom.nextInt(MAX_REPEAT_MILLIS), answer));
                }
                receive(answer);
            }
        }

        private void receive(EndpointAnswer answer) {
            if (isClosed()) {
                return;
            }
            AnswerMatch match = mMatcher.match(answer, false);
            Optional<SessionCommand> command = mMatcher.outstanding();
            mMatcher = mMatcher.withAnswer(answer, false);
            if (match == AnswerMatch.OWN || match == AnswerMatch.UNCERTAIN) {
                SessionResult result = result(command.orElseThrow(), answer);
                SessionResult delivered = match == AnswerMatch.OWN ? result : result.asUncertain();
                mSession.recordResult(delivered);
                mSession.task().ifPresent(task -> task.onResult(mSession, delivered));
            }
            assertTrue(match != AnswerMatch.FOREIGN, () -> answer + " after " + command);
        }

        private SessionResult result(SessionCommand command, EndpointAnswer answer) {
            boolean status =
                    command instanceof SessionCommand.GetStatus
                            || command instanceof SessionCommand.ResumeReplication;
            return new SessionResult(
                    answer.rows(),
                    answer.signature(),
                    answer.error(),
                    answer.text(),
                    answer.state(),
                    answer.position(),
                    status && answer.error().isEmpty()
                            ? Optional.of(mSimulation.status(mSession))
                            : Optional.empty());
        }
    }

    /** The endpoints, and what the duty provides to the group. */
    private final class Simulation implements GroupContext {
        private final Set<Connection> mConnections = new HashSet<>();
        private final SimulatedEndpoint.Log mLog = new SimulatedEndpoint.Log();
        private final List<PooledSession> mOpening = new ArrayList<>();
        private long mMillis = 1_000;
        private final Metrics mMetrics = Metrics.create();
        private long mOpened;
        private final Meter mMeter = new Meter();

        private ReplicationStatus status(PooledSession session) {
            return new ReplicationStatus(isPrimary(session.copy()), 1, mLog.position(), 0);
        }

        private static boolean isPrimary(CopyPool copy) {
            return copy.record().id().value().equals("p");
        }

        void step() {
            mMillis++;
            List<PooledSession> opening = List.copyOf(mOpening);
            mOpening.clear();
            opening.forEach(
                    session -> {
                        session.markOpen();
                        session.task().ifPresent(task -> task.onOpened(session));
                    });
            List.copyOf(mConnections).stream()
                    .filter(connection -> !connection.isClosed())
                    .forEach(connection -> connection.step(mMillis));
            if (mMillis % 20 == 0) {
                mGroup.tick(nowNanos());
            }
        }

        @Override
        public long nowNanos() {
            return Duration.ofMillis(mMillis).toNanos();
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
        public Metrics metrics() {
            return mMetrics;
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
        public UsageMeter usage() {
            return mMeter;
        }

        @Override
        public PooledSession open(
                CopyPool copy, WorkspaceId workspace, Duration timeout, SessionTask task) {
            PooledSession session = new PooledSession(++mOpened, copy, workspace);
            Connection connection =
                    new Connection(session, new SimulatedEndpoint(mRandom, mLog, isPrimary(copy)));
            session.setConnection(connection);
            session.assign(task, nowNanos());
            copy.add(session);
            mConnections.add(connection);
            mOpening.add(session);
            return session;
        }

        @Override
        public void close(PooledSession session) {
            session.copy().remove(session);
            mOpening.remove(session);
            session.close();
        }

        @Override
        public void reply(HostId origin, long call, SessionOutcome outcome) {
            mCalls.remove(call).receive(outcome);
        }

        @Override
        public void promote(GroupId group, EndpointId endpoint, long fence) {
            // The primary never changes.
        }

        @Override
        public boolean mayPromote(GroupId group, long fence) {
            return true;
        }

        @Override
        public PromotionFencing fencing() {
            return new CheckedFencing();
        }

        @Override
        public void returnLease(GroupId group) {
            throw new AssertionError("the lease was given back");
        }

        @Override
        public void logEvent(String line) {
            // The test checks no log lines.
        }

        @Override
        public void logDecision(String line) {
            // The test checks no log lines.
        }
    }

    /** Counts the statements outside transactions that are metered. */
    private static final class Meter implements UsageMeter {
        private int mCount;

        @Override
        public long currentWindow() {
            return 0;
        }

        @Override
        public void record(SessionCall call, long window, Optional<EndpointError> error) {
            boolean counted =
                    MeteredRequests.reported().isCounted(call.workspace(), call.step(), error);
            mCount += counted && call.step() == TransactionStep.NONE ? 1 : 0;
        }

        @Override
        public long onTimer(long nowNanos) {
            return nowNanos;
        }

        @Override
        public void flush(long nowNanos) {
            // The counts are read directly.
        }
    }

    /** A session that sends one statement after the other. */
    private final class Client {
        private final long mSession;
        private Map<String, String> mValues = Map.of();
        private Optional<SessionStatement> mSent = Optional.empty();
        private final Set<String> mWrites = new HashSet<>();
        private boolean mReadOnly;
        private int mLeft;
        private TransactionStep mStep = TransactionStep.NONE;
        private int mCount;

        Client(long session) {
            mSession = session;
        }

        void sendNext() {
            if (mSent.isPresent()) {
                return;
            }
            if (mStep == TransactionStep.NONE) {
                mWrites.clear();
                mValues = values();
                int kind = mRandom.nextInt(4);
                mLeft = kind < 2 ? 0 : 1 + mRandom.nextInt(3);
                mStep =
                        kind < 2
                                ? TransactionStep.NONE
                                : kind == 2
                                        ? TransactionStep.BEGIN
                                        : TransactionStep.BEGIN_READ_ONLY;
                mReadOnly = mStep == TransactionStep.BEGIN_READ_ONLY;
                submit(anyKind());
            } else if (mLeft > 0) {
                mLeft--;
                if (mSetsValuesInTransactions) {
                    mValues = new HashMap<>(mValues);
                    mValues.put("v0", Integer.toString(mRandom.nextInt(2)));
                }
                submit(anyKind());
            } else if (mRandom.nextInt(6) == 0) {
                mGroup.endWork(ORIGIN, mSession);
                mPromised.addAll(mWrites);
                mStep = TransactionStep.NONE;
            } else {
                submit(StatementKind.COMMIT);
            }
        }

        private Map<String, String> values() {
            Map<String, String> values = new HashMap<>();
            IntStream.range(0, mRandom.nextInt(3))
                    .forEach(i -> values.put("v" + i, Integer.toString(mRandom.nextInt(2))));
            return values;
        }

        private StatementKind anyKind() {
            return switch (mRandom.nextInt(4)) {
                case 0 -> mReadOnly ? StatementKind.READ : StatementKind.WRITE;
                case 1 -> StatementKind.EXECUTE;
                default -> StatementKind.READ;
            };
        }

        private void submit(StatementKind kind) {
            String id = mSession + "." + ++mCount;
            boolean writes =
                    kind == StatementKind.WRITE
                            || kind == StatementKind.EXECUTE && !mReadOnly && mRandom.nextBoolean();
            SessionStatement statement = new SessionStatement(id, kind, "x", "", kind + " x");
            mSent = Optional.of(statement);
            mExpectations.put(
                    id,
                    new SimulatedEndpoint.Expectation(
                            Long.toString(mSession),
                            mStep != TransactionStep.NONE,
                            writes,
                            mValues));
            if (writes) {
                mWrites.add(id);
            }
            long call = mSession * 1_000_000 + mCount;
            mCalls.put(call, this);
            mGroup.submit(
                    ORIGIN,
                    new SessionCall(
                            call,
                            mSession,
                            GROUP,
                            1,
                            WorkspaceId.of("w" + mSession % 2),
                            new SessionCall.Options(Consistency.STATED_AGE, 1_500, 1, 800),
                            mStep,
                            statement,
                            kind == StatementKind.EXECUTE
                                    ? Optional.of(new PreparedShape(writes, "q"))
                                    : Optional.empty(),
                            mValues,
                            LogPosition.ZERO));
        }

        void receive(SessionOutcome outcome) {
            SessionStatement statement = mSent.orElseThrow();
            mSent = Optional.empty();
            String name =
                    outcome.failure().map(f -> f.code() + " " + f.verdict()).orElse("answered");
            mOutcomes.merge(statement.kind() + " " + name, 1, Integer::sum);
            if (outcome.failure().isPresent()) {
                if (isPromise(outcome.failure().get())) {
                    mPromised.addAll(mWrites);
                }
                mGroup.endWork(ORIGIN, mSession);
                mStep = TransactionStep.NONE;
                return;
            }
            assertTrue(
                    outcome.signature().startsWith("signature " + statement.id() + " "),
                    () -> statement + " was answered with " + outcome);
            assertEquals(List.of("row of " + outcome.signature()), outcome.rows());
            boolean ends =
                    statement.kind() == StatementKind.COMMIT || mStep == TransactionStep.NONE;
            if (ends) {
                mAcknowledged.addAll(mWrites);
            }
            mStep = ends ? TransactionStep.NONE : TransactionStep.CONTINUE;
        }

        private boolean isPromise(Failure failure) {
            return failure.verdict() == Verdict.NOT_RUN
                    && failure.code() != ErrorCode.MALFORMED_REQUEST;
        }
    }

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, 40);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void keepsPromises(long seed) {
        play(seed);
    }

    /** Guards against a statement that runs with the old value when SET fails (PINNED). */
    @ParameterizedTest
    @MethodSource("seeds")
    void runsStatementsWithValuesSetInTransactions(long seed) {
        mSetsValuesInTransactions = true;
        play(seed);
    }

    /** Guards against connections that wait for ever for the answer to a rollback. */
    @ParameterizedTest
    @MethodSource("seeds")
    void freesConnectionsWhoseRollbackIsNotAnswered(long seed) {
        mLosesRollbackAnswers = true;
        play(seed);
        // Longer than the time limit of any call and than transactions may stay idle.
        for (int i = 0; i < 10_000; i++) {
            mSimulation.step();
        }
        List<String> occupied =
                mGroup.pools().stream()
                        .flatMap(pool -> pool.sessions().stream())
                        .flatMap(session -> session.task().stream())
                        .filter(task -> !(task instanceof ReplicationProbe))
                        .map(task -> task.getClass().getSimpleName())
                        .toList();
        assertEquals(List.of(), occupied);
    }

    private void play(long seed) {
        mRandom = new Random(seed);
        mSimulation = new Simulation();
        mGroup = new LeasedGroup(GROUP, 1, settings(), mSimulation);
        LongStream.rangeClosed(1, SESSIONS).forEach(i -> mClients.add(new Client(i)));
        for (int i = 0; i < MILLIS; i++) {
            mSimulation.step();
            if (i > 200) {
                mClients.stream()
                        .filter(client -> mRandom.nextInt(20) == 0)
                        .toList()
                        .forEach(Client::sendNext);
            }
        }
        Set<String> committed = mSimulation.mLog.committed();
        assertEquals(Set.of(), mSimulation.mLog.committedTwice());
        assertTrue(committed.containsAll(mAcknowledged), () -> "lost: " + mOutcomes);
        assertEquals(List.of(), mPromised.stream().filter(committed::contains).toList(), "refused");
        int ran = mSimulation.mLog.ranOutsideTransactions();
        assertEquals(ran, mSimulation.mMeter.mCount, USAGE_TOLERANCE * ran, "metered");
        int total = mOutcomes.values().stream().mapToInt(Integer::intValue).sum();
        int answered =
                mOutcomes.entrySet().stream()
                        .filter(e -> e.getKey().endsWith("answered"))
                        .mapToInt(Map.Entry::getValue)
                        .sum();
        assertTrue(answered * 2 > total, () -> mSimulation.mOpened + " " + mOutcomes);
    }

    private static GroupSettings settings() {
        return new GroupSettings(
                List.of("p", "r", "s").stream()
                        .map(
                                id ->
                                        new EndpointRecord(
                                                EndpointId.of(id),
                                                "taftish-db",
                                                DataCentreId.of("dc-" + id),
                                                "127.0.0.1:1",
                                                "",
                                                List.of(
                                                        new DatabaseRecord(
                                                                Service.SINGLE_DATABASE, 4, 16)),
                                                false,
                                                1))
                        .toList(),
                Set.of(),
                16,
                Duration.ofSeconds(3),
                DataCentreId.of("dc-p"),
                List.of(),
                false,
                new GroupSettings.Copies(1, 3, true));
    }
}
