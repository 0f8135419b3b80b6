package org.crocusturn.daemon.callers;

import static org.crocusturn.daemon.callers.ConfiguredViews.FIRST;
import static org.crocusturn.daemon.callers.ConfiguredViews.GROUP;
import static org.crocusturn.daemon.callers.ConfiguredViews.KEY;
import static org.crocusturn.daemon.callers.ConfiguredViews.SECOND;
import static org.crocusturn.daemon.callers.ConfiguredViews.key;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionState;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Leaseholder;
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
    private boolean mControlReachable = true;
    private final List<String> mAnswers = new ArrayList<>();
    private final List<SessionCall> mCalls = new ArrayList<>();
    private final List<SessionEnd> mEnds = new ArrayList<>();
    private final ConfiguredViews mViews = new ConfiguredViews();
    private final SessionsDuty mDuty =
            SessionsDuty.create(
                    mViews.empty(),
                    new RecordingDispatcher(),
                    (phase, count) -> {},
                    () -> mControlReachable,
                    Duration.ZERO,
                    Metrics.create());
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

    static Stream<Arguments> changesAndStatements() {
        return changes()
                .flatMap(
                        change ->
                                Stream.of(StatementKind.READ, StatementKind.COMMIT)
                                        .map(
                                                next ->
                                                        Arguments.of(
                                                                change.get()[0],
                                                                change.get()[1],
                                                                change.get()[2],
                                                                change.get()[3],
                                                                next)));
    }

    /**
     * Guards against a transaction that goes on, and holds its connection and its locks, after its
     * key was withdrawn.
     */
    @ParameterizedTest(name = "{0}, key {1}, open route {3}, next {4}")
    @MethodSource("changesAndStatements")
    void endsAStartedTransaction(
            StatementKind begin,
            String change,
            List<KeyRecord> keysAfter,
            boolean openRoute,
            StatementKind next) {
        openSession(openRoute);
        submit(begin);
        submit(StatementKind.READ);
        reply();
        change(2, keysAfter, Optional.of(openRoute));
        assertEquals(List.of(new SessionEnd(1, GROUP)), mEnds);
        submit(next);
        String phase = next == StatementKind.COMMIT ? "IDLE" : "FAILED";
        assertEquals(List.of("accepted", "done", "done", "KEY_REFUSED " + phase), mAnswers);
        assertEquals(List.of(FIRST), mCalls.stream().map(SessionCall::workspace).toList());
    }

    /**
     * Guards against a transaction that goes on for a key which was withdrawn while this host could
     * not reach the control hosts.
     */
    @ParameterizedTest(name = "{0}, open route {1}, next {2}")
    @CsvSource({
        "BEGIN, false, READ",
        "BEGIN, true, WRITE",
        "BEGIN, false, COMMIT",
        "BEGIN_READ_ONLY, false, READ",
        "BEGIN_READ_ONLY, true, COMMIT"
    })
    void endsAStartedTransactionWithoutCurrentState(
            StatementKind begin, boolean openRoute, StatementKind next) {
        openSession(openRoute);
        submit(begin);
        submit(StatementKind.READ);
        reply();
        mControlReachable = false;
        submit(next);
        String phase = next == StatementKind.COMMIT ? "IDLE" : "FAILED";
        assertEquals(List.of("accepted", "done", "done", "UNAVAILABLE " + phase), mAnswers);
        assertEquals(List.of(new SessionEnd(1, GROUP)), mEnds);
        assertEquals(1, mCalls.size());
    }

    /**
     * Guards against a transaction that goes on after a gap in which its key was not in force, and
     * against refusing a key that is in force.
     */
    @ParameterizedTest(name = "{0}, next {1}")
    @CsvSource({"BEGIN, READ", "BEGIN, COMMIT", "BEGIN_READ_ONLY, READ", "BEGIN_READ_ONLY, COMMIT"})
    void endsAStartedTransactionWhoseKeyIsInForceAgain(StatementKind begin, StatementKind next) {
        openSession(false);
        submit(begin);
        submit(StatementKind.READ);
        reply();
        change(2, List.of(), Optional.of(false));
        change(3, List.of(key(FIRST)), Optional.of(false));
        mAnswers.clear();
        submit(next);
        submit(StatementKind.ROLLBACK);
        submit(StatementKind.READ);
        assertEquals(
                next == StatementKind.COMMIT
                        ? List.of("TRANSACTION_LOST IDLE", "MALFORMED_REQUEST IDLE")
                        : List.of("TRANSACTION_LOST FAILED", "done"),
                mAnswers);
        assertEquals(List.of(new SessionEnd(1, GROUP)), mEnds);
        assertEquals(2, mCalls.size());
    }

    /** Guards against interrupting a transaction whose key stays while other keys change. */
    @ParameterizedTest(name = "{0}, route open before {1}, after {2}")
    @CsvSource({
        "BEGIN, false, false",
        "BEGIN, true, false",
        "BEGIN_READ_ONLY, false, true",
        "BEGIN_READ_ONLY, true, true"
    })
    void continuesAStartedTransactionWhoseKeyStays(
            StatementKind begin, boolean openBefore, boolean openAfter) {
        openSession(openBefore);
        submit(begin);
        submit(StatementKind.READ);
        reply();
        KeyRecord other = new KeyRecord("other", "b".repeat(64), FIRST);
        change(2, List.of(key(FIRST), other), Optional.of(openAfter));
        submit(StatementKind.READ);
        reply();
        change(3, List.of(key(FIRST)), Optional.empty());
        submit(StatementKind.COMMIT);
        reply();
        assertEquals(List.of("accepted", "done", "done", "done", "done"), mAnswers);
        assertEquals(List.of(), mEnds);
    }

    /** Guards against interrupting a caller without a key by a change of its route. */
    @ParameterizedTest(name = "{0}, first statement before the change: {1}")
    @CsvSource({"BEGIN, true", "BEGIN, false", "BEGIN_READ_ONLY, true", "BEGIN_READ_ONLY, false"})
    void continuesATransactionWithoutAKeyOnARouteThatNeedsOneNow(
            StatementKind begin, boolean started) {
        change(1, List.of(), Optional.of(true));
        mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", ""));
        submit(begin);
        if (started) {
            submit(StatementKind.READ);
            reply();
        }
        change(2, List.of(key(FIRST)), Optional.of(false));
        submit(StatementKind.READ);
        reply();
        submit(StatementKind.COMMIT);
        reply();
        mAnswers.clear();
        submit(StatementKind.READ);
        assertEquals(List.of("KEY_REFUSED IDLE"), mAnswers);
        assertEquals(started ? 3 : 2, mCalls.size());
        assertEquals(List.of(), mEnds);
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

    /** Applies a configuration version; without a value the route is removed. */
    private void change(long version, List<KeyRecord> keys, Optional<Boolean> openRoute) {
        mDuty.onEvent(
                new SessionEvent.ViewChanged(
                        mViews.change(version, List.of(FIRST, SECOND), keys, openRoute)));
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
            mEnds.add(end);
        }
    }
}
