package org.crocusturn.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionState;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.PromotionMode;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.Metrics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against statements that an endpoint runs for a workspace which does not hold the caller's
 * key, because the key was withdrawn or moved while a transaction of the session was open.
 */
class WithdrawnKeyInTransactionTest {
    private static final WorkspaceId FIRST = WorkspaceId.of("first");
    private static final WorkspaceId SECOND = WorkspaceId.of("second");
    private static final String KEY = "a".repeat(64);
    private static final HostId HOST = HostId.of("host-1");
    private static final GroupId GROUP = GroupId.of("s", Service.SINGLE_DATABASE);

    private boolean mControlReachable = true;
    private final List<String> mAnswers = new ArrayList<>();
    private final List<SessionCall> mCalls = new ArrayList<>();
    private final ControlView mEmptyView = ControlView.empty((state, command) -> state);
    private final SessionsDuty mDuty =
            SessionsDuty.create(
                    mEmptyView,
                    new RecordingDispatcher(),
                    (phase, count) -> {},
                    () -> mControlReachable,
                    Duration.ZERO,
                    Metrics.create());
    private ControlState mState = ControlState.EMPTY;
    private boolean mReachable = true;

    static Stream<Arguments> changes() {
        return Stream.of(StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY)
                .flatMap(
                        begin ->
                                Stream.of(
                                        Arguments.of(begin, "withdrawn", List.of(), false),
                                        Arguments.of(begin, "withdrawn", List.of(), true),
                                        Arguments.of(begin, "moved", List.of(key(SECOND)), false),
                                        Arguments.of(begin, "moved", List.of(key(SECOND)), true)));
    }

    @ParameterizedTest(name = "{0}, key {1}, open route {3}")
    @MethodSource("changes")
    void rejectsTheFirstStatement(
            StatementKind begin, String change, List<KeyRecord> keysAfter, boolean openRoute) {
        openSession(openRoute);
        submit(begin);
        change(2, keysAfter, Optional.of(openRoute));
        submit(StatementKind.READ);
        assertEquals(List.of("accepted", "done", "KEY_REFUSED FAILED"), mAnswers);
        assertEquals(List.of(), mCalls);
    }

    /** A transaction that an endpoint has begun continues until its end. */
    @ParameterizedTest(name = "{0}, key {1}, open route {3}")
    @MethodSource("changes")
    void continuesAStartedTransactionForTheSameWorkspace(
            StatementKind begin, String change, List<KeyRecord> keysAfter, boolean openRoute) {
        openSession(openRoute);
        submit(begin);
        submit(StatementKind.READ);
        reply();
        change(2, keysAfter, Optional.of(openRoute));
        submit(StatementKind.READ);
        assertEquals(List.of(FIRST, FIRST), mCalls.stream().map(SessionCall::workspace).toList());
    }

    /** A removed route must not hide that the key was withdrawn as well. */
    @ParameterizedTest(name = "{0}, key {1}, open route {3}")
    @MethodSource("changes")
    void rejectsTheFirstStatementAfterItsRouteWasRemoved(
            StatementKind begin, String change, List<KeyRecord> keysAfter, boolean openRoute) {
        openSession(openRoute);
        submit(begin);
        change(2, keysAfter, Optional.empty());
        submit(StatementKind.READ);
        assertEquals(List.of("accepted", "done", "KEY_REFUSED FAILED"), mAnswers);
        assertEquals(List.of(), mCalls);
    }

    /**
     * Guards against a session that was opened before its key was issued, and that continues
     * without a workspace as soon as the key is withdrawn again.
     */
    @ParameterizedTest(name = "statement while the key is in force: {0}")
    @ValueSource(booleans = {false, true})
    void doesNotRunAnonymouslyAtOnceAfterAnIssuedKeyIsWithdrawn(boolean statementBetween) {
        change(1, List.of(), Optional.of(true));
        mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", KEY));
        change(2, List.of(key(FIRST)), Optional.of(true));
        if (statementBetween) {
            submit(StatementKind.READ);
            reply();
        }
        change(3, List.of(), Optional.of(true));
        submit(StatementKind.READ);
        assertEquals("UNAVAILABLE IDLE", mAnswers.get(mAnswers.size() - 1));
        assertEquals(
                statementBetween ? List.of(FIRST) : List.of(),
                mCalls.stream().map(SessionCall::workspace).toList());
    }

    /** Guards against a transaction that begins for the workspace of a withdrawn key. */
    @ParameterizedTest(name = "{0}, key {1}, open route {3}")
    @MethodSource("changes")
    void rejectsTheFirstStatementIfTheKeyWasIssuedAfterTheSessionWasOpened(
            StatementKind begin, String change, List<KeyRecord> keysAfter, boolean openRoute) {
        change(1, List.of(), Optional.of(true));
        mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", KEY));
        change(2, List.of(key(FIRST)), Optional.of(openRoute));
        submit(begin);
        change(3, keysAfter, Optional.of(openRoute));
        submit(StatementKind.READ);
        assertEquals(List.of("accepted", "done", "KEY_REFUSED FAILED"), mAnswers);
        assertEquals(List.of(), mCalls);
    }

    /** Guards against a call that is sent for a withdrawn key after it waited for a leaseholder. */
    @ParameterizedTest(name = "{0}, key {1}, open route {3}")
    @MethodSource("changes")
    void rejectsAWaitingCall(
            StatementKind begin, String change, List<KeyRecord> keysAfter, boolean openRoute) {
        openSession(openRoute);
        mReachable = false;
        submit(begin);
        submit(StatementKind.READ);
        mReachable = true;
        change(2, keysAfter, Optional.of(openRoute));
        assertEquals(List.of("accepted", "done", "KEY_REFUSED FAILED"), mAnswers);
        assertEquals(List.of(), mCalls);
    }

    /**
     * Guards against work for keys that were withdrawn while this host could not reach the control
     * hosts.
     */
    @ParameterizedTest(name = "session opened before: {0}, open route {1}")
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void acceptsNoNewWorkWithoutCurrentState(boolean openedBefore, boolean openRoute) {
        mControlReachable = openedBefore;
        openSession(openRoute);
        mControlReachable = false;
        submit(StatementKind.READ);
        submit(StatementKind.BEGIN);
        assertEquals(
                openedBefore
                        ? List.of("accepted", "UNAVAILABLE IDLE", "UNAVAILABLE IDLE")
                        : List.of("refused UNAVAILABLE"),
                mAnswers);
        assertEquals(List.of(), mCalls);
    }

    private void openSession(boolean openRoute) {
        change(1, List.of(key(FIRST)), Optional.of(openRoute));
        mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", KEY));
    }

    private void submit(StatementKind kind) {
        mDuty.onEvent(
                new SessionEvent.StatementReceived(
                        1, new SessionStatement("id", kind, "", "", kind.name())));
    }

    private void reply() {
        long id = mCalls.get(mCalls.size() - 1).id();
        mDuty.onEvent(
                new SessionEvent.ReplyReceived(
                        new SessionReply(id, SessionOutcome.answered(List.of(), "s"))));
    }

    private static KeyRecord key(WorkspaceId workspace) {
        return new KeyRecord("key", KEY, workspace);
    }

    /** Applies a configuration version; without a value the route is removed. */
    private void change(long version, List<KeyRecord> keys, Optional<Boolean> openRoute) {
        Configuration configuration =
                new Configuration(
                        version,
                        List.of(),
                        Stream.of(FIRST, SECOND)
                                .map(w -> new Workspace(w, new RateLimit(9, 9), Set.of(), Map.of()))
                                .toList(),
                        List.of(
                                new Service(
                                        "s",
                                        List.of(Service.SINGLE_DATABASE),
                                        3,
                                        1,
                                        16,
                                        AcknowledgeMode.DURABLE,
                                        false,
                                        PromotionMode.LEASEHOLDER)),
                        List.of(),
                        Map.of(),
                        keys,
                        openRoute.map(WithdrawnKeyInTransactionTest::route).stream().toList(),
                        SessionLimits.DEFAULT,
                        "");
        apply(new ControlCommand.ReplaceConfiguration("change " + version, configuration));
        apply(new ControlCommand.AssignLease(GROUP, new Leaseholder(HOST, "127.0.0.1:1", 1, 1)));
        long now = SteadyClock.nanoTime();
        mDuty.onEvent(
                new SessionEvent.ViewChanged(
                        mEmptyView
                                .withReportSent(1, now)
                                .withUpdate(
                                        new ControlUpdate(
                                                1,
                                                1,
                                                1,
                                                new StateUpdate.Replacement(mState),
                                                1_500,
                                                List.of(),
                                                List.of(),
                                                List.of()),
                                        now)));
    }

    private void apply(ControlCommand command) {
        mState = ControlStateMachine.apply(mState, mState.version() + 1, command).state();
    }

    private static Route route(boolean open) {
        return new Route(
                "r",
                "db",
                "s",
                Consistency.PRIMARY,
                Duration.ZERO,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                open);
    }

    /** Records what the caller sees. */
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
            mAnswers.add(outcome.failure().map(f -> f.code() + " " + phase).orElse("done"));
        }

        @Override
        public void closeIfIdle(long handled) {
            // No test of this class stops the host.
        }

        @Override
        public void close() {
            mAnswers.add("closed");
        }
    }

    /** Records the calls to the leaseholder. */
    private final class RecordingDispatcher implements SessionDispatcher {
        @Override
        public boolean call(Leaseholder holder, SessionCall call) {
            if (mReachable) {
                mCalls.add(call);
            }
            return mReachable;
        }

        @Override
        public void end(Leaseholder holder, SessionEnd end) {
            // The tests check calls only.
        }
    }
}
