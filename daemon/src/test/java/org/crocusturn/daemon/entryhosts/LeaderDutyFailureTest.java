package org.crocusturn.daemon.entryhosts;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.entryhosts.ControlLeader;
import org.crocusturn.core.entryhosts.LeaderAction;
import org.crocusturn.core.entryhosts.LeaderInput;
import org.crocusturn.core.entryhosts.LeaderState;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.Metrics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a leader that continues after it has lost a change or half of its actions, and
 * against one message that ends each control host that leads.
 */
class LeaderDutyFailureTest {
    private static final HostId HOST = HostId.of("entry-1");
    private static final EndpointId ENDPOINT = EndpointId.of("e");

    private String mFailing = "";
    private int mSent;
    private final LeaderDuty mDuty =
            LeaderDuty.create(this::step, new FailingContext(), Metrics.create());

    private Decision<LeaderState, LeaderAction> step(
            LeaderState state, LeaderInput input, long nowNanos) {
        failAt(input.getClass().getSimpleName());
        return ControlLeader.standard().step(state, input, nowNanos);
    }

    private void failAt(String place) {
        if (mFailing.equals(place)) {
            throw new IllegalStateException("test");
        }
    }

    @ParameterizedTest
    @CsvSource({
        // place of the exception, event, whether the duty fails
        "ReportReceived, report, false",
        "EndpointObserved, observation, false",
        "DepartureReceived, departure, false",
        "CommandApplied, command, true",
        "LeadershipGained, leadership, true",
        "Tick, timer, true",
        "send, report, true"
    })
    void failsUnlessNothingWasChanged(String place, String event, boolean fails) {
        play("leadership");
        mFailing = place;
        if (fails) {
            assertThrows(IllegalStateException.class, () -> play(event));
            return;
        }
        assertDoesNotThrow(() -> play(event));
        mFailing = "";
        play("report");
        assertEquals(1, mSent, "a later report is answered");
    }

    private void play(String event) {
        switch (event) {
            case "leadership" ->
                    mDuty.onEvent(new LeaderEvent.LeadershipGained(1, ControlState.EMPTY));
            case "report" -> mDuty.onEvent(new LeaderEvent.ReportReceived(HOST, report()));
            case "observation" ->
                    mDuty.onEvent(
                            new LeaderEvent.EndpointObserved(
                                    new EndpointObservation.TimedOut(ENDPOINT)));
            case "departure" -> mDuty.onEvent(new LeaderEvent.DepartureReceived(ENDPOINT));
            case "command" ->
                    mDuty.onEvent(
                            new LeaderEvent.CommandApplied(
                                    1,
                                    new ControlCommand.RemoveEndpoint(ENDPOINT),
                                    ControlState.EMPTY.withVersion(1)));
            default -> mDuty.onTimer(SteadyClock.nanoTime());
        }
    }

    private static EntryReport report() {
        return new EntryReport(
                HOST,
                1,
                DataCentreId.of("delft"),
                "127.0.0.1:1",
                1,
                0,
                List.of(),
                List.of(),
                Set.of(),
                false,
                0);
    }

    /** Leads whenever it is asked; its connection to entry hosts can fail. */
    private final class FailingContext implements LeaderContext {
        @Override
        public boolean isLeaderLeaseValid() {
            return true;
        }

        @Override
        public long term() {
            return 0;
        }

        @Override
        public void sendToAll(PeerMessage message) {}

        @Override
        public Optional<HostId> leaderHint() {
            return Optional.empty();
        }

        @Override
        public void propose(ControlCommand command) {}

        @Override
        public void send(HostId host, PeerMessage message) {
            failAt("send");
            mSent++;
        }

        @Override
        public void sendCommand(String statusAddress, EndpointCommand command) {}

        @Override
        public void watch(EndpointId endpoint, String statusAddress) {}

        @Override
        public void unwatch(EndpointId endpoint) {}

        @Override
        public List<Member> members() {
            return List.of();
        }

        @Override
        public boolean reconcileMembership(Map<HostId, String> joining, long nowNanos) {
            return false;
        }

        @Override
        public void requestJoin(long nowNanos) {}
    }
}
