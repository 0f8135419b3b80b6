package org.crocusturn.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.crocusturn.core.Failure;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.callers.SessionState;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
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
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusing sessions at once while a restarted host waits for its configuration, and
 * against sessions that wait for it indefinitely.
 */
class SessionsDutyTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final List<String> mChannelEvents = new ArrayList<>();
    private final List<String> mCounts = new ArrayList<>();
    private final ControlView mEmptyView = ControlView.empty((state, command) -> state);
    private final SessionsDuty mDuty = duty(Duration.ZERO);

    private SessionsDuty duty(Duration transactionLimit) {
        return SessionsDuty.create(
                mEmptyView,
                new UnreachableDispatcher(),
                (phase, count) -> mCounts.add(phase + " " + count),
                () -> true,
                transactionLimit,
                Metrics.create());
    }

    @ParameterizedTest
    @CsvSource({
        // milliseconds until the configuration arrives, whether the caller leaves, channel events
        "0, false, accepted",
        "300, false, accepted",
        "500, false, refused UNAVAILABLE",
        "300, true, ''"
    })
    void holdsNewSessionsUntilConfigurationArrives(
            long delayMillis, boolean callerLeaves, String expected) {
        long start = SteadyClock.nanoTime();
        mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", ""));
        if (callerLeaves) {
            mDuty.onEvent(new SessionEvent.SessionEnded(1));
        }
        mDuty.onTimer(start + delayMillis * NANOS_PER_MILLI);
        mDuty.onEvent(new SessionEvent.ViewChanged(configured()));
        assertEquals(expected, String.join(" ", mChannelEvents));
    }

    /**
     * Guards against a caller that waits for a configuration on a host that stops, instead of
     * trying another host.
     */
    @ParameterizedTest
    @CsvSource({"1", "8"})
    void refusesWaitingSessionsOnceTheHostStops(int waiting) {
        for (int session = 1; session <= waiting; session++) {
            mDuty.onEvent(
                    new SessionEvent.OpenRequested(session, new RecordingChannel(), "db", ""));
        }
        mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.DRAINING));
        mDuty.onEvent(new SessionEvent.OpenRequested(9, new RecordingChannel(), "db", ""));
        assertEquals(Collections.nCopies(waiting + 1, "refused UNAVAILABLE"), mChannelEvents);
        assertEquals("DRAINING 0", mCounts.get(0));
    }

    /**
     * Guards against a statement that is cut off without an answer: the connection had read it, and
     * it waited in the ring while the duty closed idle sessions at a planned stop.
     */
    @ParameterizedTest
    @CsvSource({"0", "1", "3"})
    void answersStatementsThatWereReadBeforeStop(int earlier) {
        mDuty.onEvent(new SessionEvent.ViewChanged(configured()));
        mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", ""));
        for (int i = 0; i < earlier; i++) {
            mDuty.onEvent(set());
        }
        mChannelEvents.clear();
        mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.DRAINING));
        assertEquals(List.of("closed if " + earlier), mChannelEvents);
        mDuty.onEvent(set());
        assertEquals("answered", mChannelEvents.get(mChannelEvents.size() - 1));
        mDuty.onEvent(new SessionEvent.SessionEnded(1));
        mChannelEvents.clear();
        mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.DRAINING));
        assertEquals(List.of(), mChannelEvents);
    }

    /**
     * Guards against a session that is opened in the drain: it would be closed as idle, often with
     * its first statement on the way, and its caller would come back and prolong the drain.
     */
    @ParameterizedTest
    @CsvSource({"0, refused UNAVAILABLE, DRAINING 0", "1, refused UNAVAILABLE, DRAINING 1"})
    void refusesSessionsInDrain(int open, String event, String count) {
        mDuty.onEvent(new SessionEvent.ViewChanged(configured()));
        if (open > 0) {
            mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", ""));
        }
        mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.LEAVING));
        assertEquals(List.of(), mCounts);
        mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.DRAINING));
        mChannelEvents.clear();
        mDuty.onEvent(new SessionEvent.OpenRequested(2, new RecordingChannel(), "db", ""));
        assertEquals(event, mChannelEvents.get(0));
        mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.DRAINING));
        assertEquals(count, mCounts.get(mCounts.size() - 1));
    }

    /**
     * Guards against a session that is accepted between the end of the drain and the exit of the
     * process, which cuts its first statement off.
     */
    @ParameterizedTest
    @CsvSource({
        // open sessions, phases after SERVING, event of a new session
        "0, LEAVING, accepted",
        "0, LEAVING DRAINING, refused UNAVAILABLE",
        "0, DRAINING STOPPED, refused UNAVAILABLE",
        "0, LEAVING DRAINING STOPPED, refused UNAVAILABLE",
        "1, LEAVING DRAINING STOPPED, refused UNAVAILABLE"
    })
    void refusesSessionsAfterDrain(int open, String phases, String event) {
        mDuty.onEvent(new SessionEvent.ViewChanged(configured()));
        if (open > 0) {
            mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", ""));
        }
        List.of(phases.split(" "))
                .forEach(
                        phase ->
                                mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.valueOf(phase))));
        mChannelEvents.clear();
        mDuty.onEvent(new SessionEvent.OpenRequested(2, new RecordingChannel(), "db", ""));
        assertEquals(event, mChannelEvents.get(0));
    }

    /** Guards against a statement that is forwarded just before the process exits. */
    @ParameterizedTest
    @CsvSource({
        "LEAVING, accepted",
        "LEAVING DRAINING, accepted closed if 0",
        "LEAVING DRAINING STOPPED, accepted closed if 0 answered"
    })
    void refusesStatementsAfterDrain(String phases, String events) {
        mDuty.onEvent(new SessionEvent.ViewChanged(configured()));
        mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", ""));
        List.of(phases.split(" "))
                .forEach(
                        phase ->
                                mDuty.onEvent(new SessionEvent.PhaseChanged(Phase.valueOf(phase))));
        mDuty.onEvent(statement(StatementKind.WRITE, "item", "data"));
        assertEquals(events, String.join(" ", mChannelEvents));
    }

    /** Guards against statements that are still open when the process closes their connections. */
    @ParameterizedTest
    @CsvSource({"0, accepted", "1, accepted answered", "3, accepted answered answered answered"})
    void answersOpenStatementsAtTheEnd(int open, String events) {
        mDuty.onEvent(new SessionEvent.ViewChanged(configured()));
        mDuty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", ""));
        IntStream.range(0, open)
                .forEach(n -> mDuty.onEvent(statement(StatementKind.WRITE, "item", "data")));
        mDuty.onEvent(new SessionEvent.HostEnding());
        assertEquals(events, String.join(" ", mChannelEvents));
    }

    /**
     * Guards against a statement of an open transaction that runs when the process ends, so that
     * its caller gets no answer.
     */
    @ParameterizedTest
    @CsvSource({"0, DRAINING, 2", "0, LEAVING, 1", "3600, DRAINING, 1"})
    void refusesStatementsOfTransactionsAfterTheirTime(
            long limitSeconds, Phase phase, int answers) {
        SessionsDuty duty = duty(Duration.ofSeconds(limitSeconds));
        duty.onEvent(new SessionEvent.ViewChanged(configured()));
        duty.onEvent(new SessionEvent.OpenRequested(1, new RecordingChannel(), "db", ""));
        duty.onEvent(statement(StatementKind.BEGIN, "", ""));
        duty.onEvent(new SessionEvent.PhaseChanged(Phase.LEAVING));
        duty.onEvent(new SessionEvent.PhaseChanged(phase));
        duty.onEvent(statement(StatementKind.READ, "item", ""));
        assertEquals(answers, mChannelEvents.stream().filter("answered"::equals).count());
    }

    private static SessionEvent set() {
        return statement(StatementKind.SET_VALUE, "name", "value");
    }

    private static SessionEvent statement(StatementKind kind, String name, String value) {
        return new SessionEvent.StatementReceived(
                1, new SessionStatement("id", kind, name, value, kind + " " + name));
    }

    private ControlView configured() {
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
        ControlState state =
                ControlStateMachine.apply(
                                ControlState.EMPTY,
                                1,
                                new ControlCommand.ReplaceConfiguration("first", configuration))
                        .state();
        long now = SteadyClock.nanoTime();
        return mEmptyView
                .withReportSent(1, now)
                .withUpdate(
                        new ControlUpdate(
                                1,
                                1,
                                1,
                                new StateUpdate.Replacement(state),
                                1_500,
                                List.of(),
                                List.of(),
                                List.of()),
                        now);
    }

    /** Records the events that are sent to the caller. */
    private final class RecordingChannel implements SessionChannel {
        @Override
        public void accept() {
            mChannelEvents.add("accepted");
        }

        @Override
        public void refuse(Failure failure) {
            mChannelEvents.add("refused " + failure.code());
        }

        @Override
        public void answer(
                SessionStatement statement, SessionOutcome outcome, SessionState.Phase phase) {
            mChannelEvents.add("answered");
        }

        @Override
        public void closeIfIdle(long handled) {
            mChannelEvents.add("closed if " + handled);
        }

        @Override
        public void close() {
            mChannelEvents.add("closed");
        }
    }

    /** Dispatcher that cannot reach any leaseholder. */
    private static final class UnreachableDispatcher implements SessionDispatcher {
        @Override
        public boolean call(Leaseholder holder, SessionCall call) {
            return false;
        }

        @Override
        public void end(Leaseholder holder, SessionEnd end) {
            // No transaction is open.
        }
    }
}
