package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.LeaseGrant;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.PromotionMode;
import org.crocusturn.core.operators.Service;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a service that one configuration leaves out and a later one has again with nothing
 * known of it. Its leaseholder would take the first endpoint that announces itself for the only
 * one, and use fencing numbers that were used before.
 */
class ReturningServiceTest {
    private static final long MS = 1_000_000;
    private static final String SERVICE = "visits";
    private static final GroupId GROUP = GroupId.of(SERVICE, Service.SINGLE_DATABASE);
    private static final HostId HOST = HostId.of("h");
    private static final ControlLeader LEADER = ControlLeader.standard();

    private ControlState mControl = ControlState.EMPTY;
    private LeaderState mState = LeaderState.idle();
    private long mMillis;
    private long mIncarnation = 1;
    private long mSequence;
    private long mCoveredVersion;
    private List<LeaseGrant> mGrants = List.of();

    /** What happens while the configuration in force does not have the service. */
    enum Absence {
        NOTHING(true),
        NEW_CONTROL_LEADER(true),
        LEASEHOLDER_RESTARTS(true),
        ENDPOINT_STAYS(true),
        ENDPOINT_RESTARTS_EMPTY(false),
        ENDPOINT_IS_REPLACED(false),
        ENDPOINT_LEAVES(false);

        private final boolean mKeepsCoverage;

        Absence(boolean keepsCoverage) {
            mKeepsCoverage = keepsCoverage;
        }
    }

    private void configure(String... services) {
        long version = mControl.configuration().version() + 1;
        commit(
                new ControlCommand.ReplaceConfiguration(
                        "c" + version,
                        new Configuration(
                                version,
                                List.of(),
                                List.of(),
                                Stream.of(services).map(ReturningServiceTest::service).toList(),
                                List.of(),
                                Map.of(),
                                List.of())));
    }

    private static Service service(String name) {
        return new Service(
                name,
                List.of(Service.SINGLE_DATABASE),
                3,
                2,
                16,
                AcknowledgeMode.DURABLE,
                true,
                PromotionMode.LEASEHOLDER);
    }

    private static EndpointRecord endpoint(String id, String address, long incarnation) {
        return new EndpointRecord(
                EndpointId.of(id),
                SERVICE,
                DataCentreId.of("dc"),
                address + ":1",
                "",
                List.of(new DatabaseRecord(Service.SINGLE_DATABASE, 2, 16)),
                false,
                incarnation);
    }

    private void announce(EndpointRecord endpoint) {
        step(new LeaderInput.AnnouncementReceived(endpoint));
    }

    private void lead(long term) {
        mState = LeaderState.idle();
        step(new LeaderInput.LeadershipGained(term, mControl));
    }

    /** Lets an entry host report its lease, if it has one, for some time. */
    private void run(long millis) {
        for (long end = mMillis + millis; mMillis < end; mMillis += 100) {
            List<HeldLease> held =
                    mGrants.stream()
                            .map(
                                    g ->
                                            new HeldLease(
                                                    g.group(),
                                                    g.epoch(),
                                                    0,
                                                    false,
                                                    0,
                                                    mCoveredVersion))
                            .toList();
            step(
                    new LeaderInput.ReportReceived(
                            new EntryReport(
                                    HOST,
                                    mIncarnation,
                                    DataCentreId.of("dc"),
                                    "127.0.0.1:1",
                                    ++mSequence,
                                    mControl.version(),
                                    held,
                                    List.of(),
                                    Set.of(),
                                    false,
                                    mSequence - 1,
                                    1,
                                    1)));
            step(new LeaderInput.Tick());
        }
    }

    /** Runs a step and commits the commands that it proposes. */
    private void step(LeaderInput input) {
        Decision<LeaderState, LeaderAction> decision = LEADER.step(mState, input, mMillis * MS);
        mState = decision.state();
        for (LeaderAction action : decision.actions()) {
            if (action instanceof LeaderAction.Propose propose) {
                commit(propose.command());
            } else if (action instanceof LeaderAction.SendUpdate send) {
                mGrants = send.update().leases();
            }
        }
    }

    private void commit(ControlCommand command) {
        long version = mControl.version() + 1;
        mControl = ControlStateMachine.apply(mControl, version, command).state();
        step(new LeaderInput.CommandApplied(version, command, mControl));
    }

    private GroupRecord group() {
        return mControl.groups().get(GROUP);
    }

    private boolean isCoverageConfirmed() {
        return Optional.ofNullable(group()).filter(g -> g.coverage().isConfirmed()).isPresent();
    }

    /** Serves with three endpoints until the leaseholder has confirmed two complete logs. */
    private void serve() {
        configure(SERVICE, "others");
        lead(1);
        run(3_000);
        announce(endpoint("p", "p", 1));
        announce(endpoint("r", "r", 1));
        announce(endpoint("s", "s", 1));
        run(500);
        assertEquals(1, group().lastEpoch());
        assertEquals(false, isCoverageConfirmed());
        mCoveredVersion = mControl.version();
        run(500);
        mCoveredVersion = 0;
        assertEquals(true, isCoverageConfirmed());
    }

    @ParameterizedTest
    @EnumSource(Absence.class)
    void keepsWhatIsKnownOfItsLogs(Absence absence) {
        serve();
        configure("others");
        run(5_000);
        assertEquals(Optional.empty(), grantedEpoch());
        switch (absence) {
            case NEW_CONTROL_LEADER -> lead(2);
            case LEASEHOLDER_RESTARTS -> {
                mIncarnation = 2;
                mSequence = 0;
                mGrants = List.of();
            }
            case ENDPOINT_STAYS -> announce(endpoint("r", "r", 1));
            case ENDPOINT_RESTARTS_EMPTY -> announce(endpoint("r", "r", 2));
            case ENDPOINT_IS_REPLACED -> announce(endpoint("t", "r", 2));
            case ENDPOINT_LEAVES -> {
                announce(endpoint("r", "r", 1).withLeaving(true));
                run(15_000);
            }
            default -> {}
        }
        run(2_000);
        configure(SERVICE, "others");
        assertEquals(absence.mKeepsCoverage, isCoverageConfirmed());
        assertEquals(
                absence == Absence.ENDPOINT_LEAVES ? 2 : 3,
                mControl.endpoints().size(),
                mControl.endpoints().keySet().toString());
        run(5_000);
        // The number of an epoch fences the orders of its holder, so another one needs a new
        // number.
        assertEquals(
                Optional.of(absence == Absence.LEASEHOLDER_RESTARTS ? 2L : 1L), grantedEpoch());
    }

    private Optional<Long> grantedEpoch() {
        return mGrants.stream()
                .filter(g -> g.group().equals(GROUP))
                .map(LeaseGrant::epoch)
                .findFirst();
    }

    static Stream<Arguments> losses() {
        return Stream.of(
                Arguments.of("the same process again", endpoint("r", "r", 1), true),
                Arguments.of("another endpoint", endpoint("t", "t", 1), true),
                Arguments.of("it restarted empty", endpoint("r", "r", 2), false),
                Arguments.of("it was replaced", endpoint("t", "r", 2), false));
    }

    /** Guards against a new leaseholder that counts on the log of a replica that was lost. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("losses")
    void needsNewConfirmationAfterALoss(
            String description, EndpointRecord announced, boolean confirmed) {
        serve();
        announce(announced);
        run(500);
        assertEquals(confirmed, isCoverageConfirmed());
        // A report that is older than the loss confirms nothing.
        mCoveredVersion = mControl.version() - 1;
        run(500);
        assertEquals(confirmed, isCoverageConfirmed());
        mCoveredVersion = mControl.version();
        run(500);
        assertEquals(true, isCoverageConfirmed());
    }
}
