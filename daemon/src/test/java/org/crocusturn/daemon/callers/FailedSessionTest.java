package org.crocusturn.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
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
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.PromotionMode;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.Metrics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a failure in the work for one session that ends other sessions, or that leaves the
 * session without answers: its call was gone, so it looked idle and a planned stop closed it.
 */
class FailedSessionTest {
    private final List<String> mEvents = new ArrayList<>();
    private final List<SessionCall> mCalls = new ArrayList<>();
    private final List<String> mCounts = new ArrayList<>();
    private final ControlView mEmptyView = ControlView.empty((state, command) -> state);
    private final SessionsDuty mDuty =
            SessionsDuty.create(
                    mEmptyView,
                    new FailingDispatcher(),
                    (phase, count) -> mCounts.add(phase + " " + count),
                    () -> true,
                    Duration.ZERO,
                    Metrics.create());
    private String mFailingPlace = "";

    static Stream<Arguments> failures() {
        return Stream.of(
                Arguments.of("call", List.of("1 done", "1 MAY_HAVE_RUN", "1 NOT_RUN", "1 closed")),
                Arguments.of("answer", List.of("1 NOT_RUN", "1 NOT_RUN", "1 closed")));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void answersAllStatementsOfTheFailedSession(String place, List<String> expected) {
        configure();
        open(1);
        open(2);
        submit(1);
        submit(1);
        submit(1);
        submit(2);
        mEvents.clear();
        mFailingPlace = place;
        reply(mCalls.get(0));
        mFailingPlace = "";
        assertEquals(expected, mEvents);
        mDuty.onEvent(new SessionEvent.SessionEnded(1));
        reply(mCalls.get(1));
        submit(2);
        reply(mCalls.get(mCalls.size() - 1));
        assertEquals(List.of("2 done", "2 done"), mEvents.subList(expected.size(), mEvents.size()));
        mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.DRAINING));
        assertEquals("DRAINING 1", mCounts.get(mCounts.size() - 1));
    }

    private void open(long session) {
        mDuty.onEvent(
                new SessionEvent.OpenRequested(session, new RecordingChannel(session), "db", ""));
    }

    private void submit(long session) {
        mDuty.onEvent(
                new SessionEvent.StatementReceived(
                        session, new SessionStatement("id", StatementKind.WRITE, "", "", "WRITE")));
    }

    private void reply(SessionCall call) {
        mDuty.onEvent(
                new SessionEvent.ReplyReceived(
                        new SessionReply(call.id(), SessionOutcome.answered(List.of(), "s"))));
    }

    private void failAt(String place) {
        if (mFailingPlace.equals(place)) {
            mFailingPlace = "";
            throw new IllegalStateException("test");
        }
    }

    private void configure() {
        Configuration configuration =
                new Configuration(
                        1,
                        List.of(),
                        List.of(),
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
                        List.of(),
                        List.of(
                                new Route(
                                        "r",
                                        "db",
                                        "s",
                                        Consistency.PRIMARY,
                                        Duration.ZERO,
                                        Duration.ofSeconds(1),
                                        Duration.ofSeconds(1),
                                        1,
                                        true)),
                        SessionLimits.DEFAULT,
                        "");
        ControlState configured =
                ControlStateMachine.apply(
                                ControlState.EMPTY,
                                1,
                                new ControlCommand.ReplaceConfiguration("first", configuration))
                        .state();
        ControlState leased =
                ControlStateMachine.apply(
                                configured,
                                2,
                                new ControlCommand.AssignLease(
                                        GroupId.of("s", Service.SINGLE_DATABASE),
                                        new Leaseholder(HostId.of("host-1"), "127.0.0.1:1", 1, 1)))
                        .state();
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
                                                new StateUpdate.Replacement(leased),
                                                1_500,
                                                List.of(),
                                                List.of(),
                                                List.of()),
                                        now)));
    }

    /** Records what a caller sees. */
    private final class RecordingChannel implements SessionChannel {
        private final long mSession;

        private RecordingChannel(long session) {
            mSession = session;
        }

        @Override
        public void accept() {
            record("accepted");
        }

        @Override
        public void refuse(Failure failure) {
            record("refused");
        }

        @Override
        public void answer(
                SessionStatement statement, SessionOutcome outcome, SessionState.Phase phase) {
            failAt("answer");
            record(outcome.failure().map(f -> f.verdict().name()).orElse("done"));
        }

        @Override
        public void closeIfIdle(long handled) {
            // The number of sessions shows whether one is left.
        }

        @Override
        public void close() {
            record("closed");
        }

        private void record(String event) {
            mEvents.add(mSession + " " + event);
        }
    }

    /** Dispatcher that reaches the leaseholder, unless it fails. */
    private final class FailingDispatcher implements SessionDispatcher {
        @Override
        public boolean call(Leaseholder holder, SessionCall call) {
            failAt("call");
            mCalls.add(call);
            return true;
        }

        @Override
        public void end(Leaseholder holder, SessionEnd end) {
            // No transaction is open.
        }
    }
}
