package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
import org.crocusturn.core.endpoints.EndpointError;
import org.crocusturn.core.endpoints.PromotionFencing;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.endpoints.SessionCommand;
import org.crocusturn.core.endpoints.SessionResult;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.daemon.platform.Metrics;

/** Simulates the duty of a group and its endpoints; commands are held until a test answers them. */
final class FakeGroupContext implements GroupContext {
    /** Command that an endpoint received. */
    record Sent(PooledSession session, SessionCommand command) {
        String endpoint() {
            return session.copy().record().id().value();
        }
    }

    final List<Sent> mSent = new ArrayList<>();
    final List<PooledSession> mOpening = new ArrayList<>();
    final Map<Long, SessionOutcome> mReplies = new HashMap<>();
    final List<String> mPromotions = new ArrayList<>();
    final List<String> mDemotions = new ArrayList<>();
    final Map<String, ReplicationStatus> mStatuses = new HashMap<>();
    long mNowNanos = 1_000_000_000L;
    boolean mLeaseValid = true;
    boolean mTokenAvailable = true;
    PromotionFencing mFencing = new CheckedFencing();
    UsageMeter mUsage = new NoUsageMeter();
    PromotionService mService = order -> new CompletableFuture<>();
    int mLeasesGivenBack;

    /** Number of times that a workspace was looked at while the group searched its queues. */
    long mLooks;

    final Metrics mMetrics = Metrics.create();
    private long mLastId;

    @Override
    public long nowNanos() {
        return mNowNanos;
    }

    @Override
    public boolean leaseValid(GroupId group) {
        return mLeaseValid;
    }

    @Override
    public boolean hasToken(WorkspaceId workspace) {
        mLooks++;
        return mTokenAvailable;
    }

    @Override
    public Metrics metrics() {
        return mMetrics;
    }

    @Override
    public Optional<Long> tokenWaitNanos(WorkspaceId workspace) {
        return mTokenAvailable ? Optional.empty() : Optional.of(80_000_000L);
    }

    @Override
    public void takeToken(WorkspaceId workspace) {
        // The supply of tokens is unlimited.
    }

    @Override
    public UsageMeter usage() {
        return mUsage;
    }

    @Override
    public PooledSession open(
            CopyPool copy, WorkspaceId workspace, Duration timeout, SessionTask task) {
        PooledSession session = new PooledSession(++mLastId, copy, workspace);
        session.setConnection(new Connection(session));
        session.assign(task, mNowNanos);
        copy.add(session);
        mOpening.add(session);
        return session;
    }

    /** Completes the opening of all connections. */
    void openAll() {
        while (!mOpening.isEmpty()) {
            PooledSession session = mOpening.remove(0);
            session.markOpen();
            session.task().ifPresent(t -> t.onOpened(session));
        }
    }

    @Override
    public void close(PooledSession session) {
        session.copy().remove(session);
        session.close();
    }

    @Override
    public void reply(HostId origin, long call, SessionOutcome outcome) {
        mReplies.put(call, outcome);
    }

    @Override
    public void promote(GroupId group, EndpointId endpoint, long fence) {
        mPromotions.add(endpoint + " " + fence);
        mService.promote(new PromotionOrder(group, endpoint, fence, mNowNanos));
    }

    @Override
    public boolean mayPromote(GroupId group, long fence) {
        return mService.isPermitted(group, fence);
    }

    @Override
    public PromotionFencing fencing() {
        return mFencing;
    }

    @Override
    public void returnLease(GroupId group) {
        mLeasesGivenBack++;
    }

    @Override
    public void logEvent(String line) {
        // The tests check no log lines.
    }

    @Override
    public void logDecision(String line) {
        // The tests check no log lines.
    }

    /** Answers all status and replication commands; copies without a status stay silent. */
    void answerStatusCommands() {
        openAll();
        List<Sent> outstanding =
                mSent.stream()
                        .filter(
                                s ->
                                        s.command() instanceof SessionCommand.GetStatus
                                                || s.command()
                                                        instanceof SessionCommand.PauseReplication
                                                || s.command()
                                                        instanceof SessionCommand.ResumeReplication
                                                || s.command() instanceof SessionCommand.StepDown)
                        .toList();
        mSent.removeAll(outstanding);
        outstanding.forEach(
                s ->
                        Optional.ofNullable(mStatuses.get(s.endpoint()))
                                .ifPresent(
                                        status ->
                                                s.session()
                                                        .task()
                                                        .ifPresent(
                                                                t ->
                                                                        t.onResult(
                                                                                s.session(),
                                                                                statusResult(
                                                                                        s.command(),
                                                                                        status)))));
    }

    /** A primary does not pause; the other commands return the status. */
    private static SessionResult statusResult(SessionCommand command, ReplicationStatus status) {
        if (command instanceof SessionCommand.PauseReplication && status.primary()) {
            return failed(EndpointError.FAILED, SessionResult.State.IDLE);
        }
        return new SessionResult(
                List.of(),
                "-",
                Optional.empty(),
                "",
                SessionResult.State.IDLE,
                Optional.of(status.received()),
                Optional.of(status));
    }

    /** Answers the oldest outstanding command of a type. */
    void answer(Class<? extends SessionCommand> kind, SessionResult result) {
        Sent sent =
                mSent.stream().filter(s -> kind.isInstance(s.command())).findFirst().orElseThrow();
        mSent.remove(sent);
        sent.session().task().orElseThrow().onResult(sent.session(), result);
    }

    /** Lets a group run a write, whose commit the primary reports at a log index. */
    void acknowledgeCommit(LeasedGroup group, long index) {
        group.submit(
                HostId.of("entry-2.1"),
                new SessionCall(
                        1,
                        7,
                        group.id(),
                        1,
                        WorkspaceId.of("schools"),
                        new SessionCall.Options(Consistency.PRIMARY, 1_500, 1, 30_000),
                        TransactionStep.NONE,
                        new SessionStatement("id1", StatementKind.WRITE, "x", "", "WRITE x"),
                        Optional.empty(),
                        Map.of(),
                        LogPosition.ZERO));
        openAll();
        answer(SessionCommand.Run.class, done(SessionResult.State.IDLE, index));
        assertEquals(Optional.empty(), mReplies.get(1L).failure());
    }

    static SessionResult done(SessionResult.State state, long index) {
        return new SessionResult(
                List.of("row"),
                "sig",
                Optional.empty(),
                "",
                state,
                Optional.of(LogPosition.of(1, index)),
                Optional.empty());
    }

    static SessionResult failed(EndpointError error, SessionResult.State state) {
        return new SessionResult(
                List.of(),
                "",
                Optional.of(error),
                error.name(),
                state,
                Optional.empty(),
                Optional.empty());
    }

    /** Records commands. */
    private final class Connection implements EndpointSession {
        private final PooledSession mSession;

        private Connection(PooledSession session) {
            mSession = session;
        }

        @Override
        public void send(SessionCommand command) {
            Sent sent = new Sent(mSession, command);
            mSent.add(sent);
            if (command instanceof SessionCommand.StepDown stepDown) {
                mDemotions.add(sent.endpoint() + " " + stepDown.term());
            }
        }

        @Override
        public void close() {
            mSent.removeIf(s -> s.session() == mSession);
        }
    }
}
