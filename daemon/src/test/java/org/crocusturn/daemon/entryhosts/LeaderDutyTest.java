package org.crocusturn.daemon.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.daemon.platform.Metrics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a new leader that sends the whole state to each entry host, although the hosts
 * lack few changes or none. On a link of 2 Mbit/s statements waited for it.
 */
class LeaderDutyTest {
    private static final HostId HOST = HostId.of("entry-1");

    private final List<ControlUpdate> mUpdates = new ArrayList<>();
    private final LeaderDuty mDuty = LeaderDuty.create(new RecordingContext(), Metrics.create());
    private ControlState mControl = ControlState.EMPTY;
    private long mTerm;

    @ParameterizedTest
    @CsvSource({
        // events, version that the host knows, what the new leader sends to it
        "apply apply apply gain, 1, Changes",
        "apply apply apply gain, 3, Unchanged",
        "apply restore apply gain, 2, Changes",
        "apply apply restore apply gain, 1, Replacement",
        "gain apply apply lose apply gain, 1, Changes",
        "gain apply lose restore apply gain, 1, Replacement"
    })
    void sendsWhatTheHostLacks(String events, long knownVersion, String expected) {
        for (String event : events.split(" ")) {
            play(event);
        }
        mUpdates.clear();
        mDuty.onEvent(new LeaderEvent.ReportReceived(HOST, report(knownVersion)));
        assertEquals(expected, mUpdates.get(0).state().getClass().getSimpleName());
        assertEquals(mControl.version(), mUpdates.get(0).version());
    }

    private void play(String event) {
        switch (event) {
            case "apply" -> {
                mControl = mControl.withVersion(mControl.version() + 1);
                ControlCommand command = new ControlCommand.RemoveEndpoint(EndpointId.of("e"));
                mDuty.onEvent(
                        new LeaderEvent.CommandApplied(mControl.version(), command, mControl));
            }
            case "restore" -> {
                mControl = mControl.withVersion(mControl.version() + 1);
                mDuty.onEvent(new LeaderEvent.StateRestored(mControl));
            }
            case "gain" -> mDuty.onEvent(new LeaderEvent.LeadershipGained(++mTerm, mControl));
            default -> mDuty.onEvent(new LeaderEvent.LeadershipLost());
        }
    }

    private static EntryReport report(long knownVersion) {
        return new EntryReport(
                HOST,
                1,
                DataCentreId.of("delft"),
                "127.0.0.1:1",
                1,
                knownVersion,
                List.of(),
                List.of(),
                Set.of(),
                false,
                0);
    }

    /** Leads whenever it is asked, and keeps the updates that are sent. */
    private final class RecordingContext implements LeaderContext {
        @Override
        public boolean isLeaderLeaseValid() {
            return true;
        }

        @Override
        public Optional<HostId> leaderHint() {
            return Optional.empty();
        }

        @Override
        public void propose(ControlCommand command) {}

        @Override
        public void send(HostId host, PeerMessage message) {
            mUpdates.add((ControlUpdate) message);
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
        public void reconcileMembership(Map<HostId, String> joining, long nowNanos) {}

        @Override
        public void requestJoin(long nowNanos) {}
    }
}
