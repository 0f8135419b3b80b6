package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a control leader that forgets a departed endpoint at once. A new leaseholder would
 * take the endpoints that are left for all copies, and promote one that lacks commits which only
 * the departed one and the silent primary had received.
 */
class DepartedEndpointTest {
    private static final long MS = 1_000_000;
    private static final EndpointId ENDPOINT = EndpointId.of("e");
    private static final ControlLeader LEADER = ControlLeader.standard();

    private ControlState mControl =
            InheritedLeaseFixture.of(
                    List.of("a"), new Leaseholder(HostId.of("h"), "127.0.0.1:1", 1, 1));
    private LeaderState mState = LeaderState.idle();

    @ParameterizedTest
    @CsvSource({
        // announced as leaving before, time of the departure, new leader at, time, registered
        "false, 0, -1, 9900, true",
        "false, 0, -1, 10500, false",
        "true, 0, -1, 9900, true",
        "true, 0, -1, 10500, false",
        "true, 9900, -1, 10500, true",
        "true, 9900, -1, 19800, true",
        "true, 9900, -1, 20500, false",
        "false, 0, 5000, 9900, true",
        "true, 0, 5000, 9900, true",
        "true, 0, 5000, 16000, false",
        "true, 9900, 10000, 19800, true"
    })
    void keepsDepartedEndpointForAWhile(
            boolean announced,
            long departureMillis,
            long leaderMillis,
            long millis,
            boolean registered) {
        step(new LeaderInput.LeadershipGained(1, mControl), 0);
        announce(false, 0);
        if (announced) {
            announce(true, 0);
        }
        for (long at = 0; at <= millis; at += 100) {
            if (at == departureMillis) {
                step(new LeaderInput.DepartureReceived(ENDPOINT), at);
            }
            if (at == leaderMillis) {
                mState = LeaderState.idle();
                step(new LeaderInput.LeadershipGained(2, mControl), at);
            }
            step(new LeaderInput.Tick(), at);
        }
        assertEquals(
                registered ? Optional.of(true) : Optional.empty(),
                Optional.ofNullable(mControl.endpoints().get(ENDPOINT))
                        .map(EndpointRecord::leaving));
    }

    private void announce(boolean leaving, long millis) {
        step(
                new LeaderInput.AnnouncementReceived(
                        new EndpointRecord(
                                ENDPOINT,
                                InheritedLeaseFixture.SERVICE,
                                InheritedLeaseFixture.DATA_CENTRE,
                                "127.0.0.1:2",
                                "",
                                List.of(new DatabaseRecord("a", 2, 16)),
                                leaving,
                                7)),
                millis);
    }

    /** Runs a step and commits the commands that it proposes. */
    private void step(LeaderInput input, long millis) {
        Decision<LeaderState, LeaderAction> decision = LEADER.step(mState, input, millis * MS);
        mState = decision.state();
        decision.actions().stream()
                .filter(LeaderAction.Propose.class::isInstance)
                .map(a -> ((LeaderAction.Propose) a).command())
                .forEach(c -> commit(c, millis));
    }

    private void commit(ControlCommand command, long millis) {
        long version = mControl.version() + 1;
        mControl = ControlStateMachine.apply(mControl, version, command).state();
        step(new LeaderInput.CommandApplied(version, command, mControl), millis);
    }
}
