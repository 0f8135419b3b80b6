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
import org.crocusturn.core.controlhosts.NotLeader;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.ring.SteadyClock;
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
    private final List<String> mSent = new ArrayList<>();
    private final List<Long> mTerms = new ArrayList<>();
    private Optional<HostId> mLeader = Optional.empty();
    private boolean mLeaseValid = true;
    private long mTerm;
    private long mSequence;

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

    /**
     * Guards against a leader that answers "not the leader" while it can't prove for a moment that
     * it leads. A hundred hosts then search for another one, and their reports kept it from leading
     * for seconds; and against entry hosts that have to search for a new leader.
     */
    @ParameterizedTest
    @CsvSource({
        // events, what is sent to the entry host or to all
        "gain, all",
        "gain report, all update",
        "report gain, not-leader all",
        "gain invalid report, all",
        "gain invalid report valid tick, all update",
        "gain invalid report report valid report, all update update",
        "gain invalid report lose, all not-leader",
        "gain invalid report report lose report, all not-leader not-leader"
    })
    void answersReportsOnceItCanProveThatItLeads(String events, String expected) {
        for (String event : events.split(" ")) {
            play(event);
        }
        assertEquals(expected, String.join(" ", mSent));
    }

    /**
     * Guards against a host that leaves its leader for a host which only tries to become the
     * leader, because the term of its election is newer.
     */
    @ParameterizedTest
    @CsvSource({"control-2, 7", ", 0"})
    void namesTheTermOfALeaderOnly(String leader, long term) {
        mLeader = Optional.ofNullable(leader).map(HostId::of);
        play("report");
        assertEquals(List.of(term), mTerms);
    }

    private void play(String event) {
        switch (event) {
            case "report" ->
                    mDuty.onEvent(new LeaderEvent.ReportReceived(HOST, report(++mSequence, 0)));
            case "invalid" -> mLeaseValid = false;
            case "valid" -> mLeaseValid = true;
            case "tick" -> mDuty.onTimer(SteadyClock.nanoTime());
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
        return report(1, knownVersion);
    }

    private static EntryReport report(long sequence, long knownVersion) {
        return new EntryReport(
                HOST,
                1,
                DataCentreId.of("delft"),
                "127.0.0.1:1",
                sequence,
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
            return mLeaseValid;
        }

        @Override
        public long term() {
            return 7;
        }

        @Override
        public void sendToAll(PeerMessage message) {
            mSent.add("all");
        }

        @Override
        public Optional<HostId> leaderHint() {
            return mLeader;
        }

        @Override
        public void propose(ControlCommand command) {}

        @Override
        public void send(HostId host, PeerMessage message) {
            mSent.add(message instanceof ControlUpdate ? "update" : "not-leader");
            if (message instanceof NotLeader notLeader) {
                mTerms.add(notLeader.term());
            }
            if (message instanceof ControlUpdate update) {
                mUpdates.add(update);
            }
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
