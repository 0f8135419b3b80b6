package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against leases that expire too late, and tokens or commands that are applied twice. */
class ControlViewTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final GroupId GROUP = GroupId.of("svc", "db");

    /** Updates the version only, and fails if a command is applied twice. */
    private static ControlState apply(ControlState s, StateUpdate.VersionedCommand c) {
        assertEquals(true, c.version() > s.version());
        return new ControlState(
                c.version(),
                s.configuration(),
                s.keys(),
                s.drained(),
                s.endpoints(),
                s.groups(),
                s.placements(),
                s.changes());
    }

    /**
     * Returns a view with reports 1 to 3 sent at 0, 200 and 400 ms, and report 2 answered in term
     * 2.
     */
    private static ControlView answeredView() {
        return ControlView.empty(ControlViewTest::apply)
                .withReportSent(1, 0)
                .withReportSent(2, 200 * NANOS_PER_MILLI)
                .withReportSent(3, 400 * NANOS_PER_MILLI)
                .withUpdate(update(2, 2, 5, 1), 900 * NANOS_PER_MILLI);
    }

    private static ControlUpdate update(long leader, long sequence, long epoch, long grant) {
        ControlCommand command = new ControlCommand.RemoveEndpoint(EndpointId.of("e"));
        return new ControlUpdate(
                leader,
                sequence,
                7,
                new StateUpdate.Changes(
                        0,
                        List.of(
                                new StateUpdate.VersionedCommand(6, command),
                                new StateUpdate.VersionedCommand(7, command))),
                1_500,
                List.of(new LeaseGrant(GROUP, epoch, 1_000, 3, false)),
                List.of(new TokenGrant(WorkspaceId.of("w"), grant, 10, 1_000)));
    }

    @ParameterizedTest
    @CsvSource({
        // Each row is an update that follows the late answer to report 2: leader term, sequence,
        // epoch, end of the lease and of the freshness in ms, new tokens.
        "2, 3, 5, 1400, 1900, 0",
        "2, 2, 5, 1200, 1700, 0",
        "2, 1, 5, 1200, 1700, 0",
        "1, 3, 5, 1200, 1700, 0",
        "2, 9, 5, 1200, 1700, 0",
        "3, 1, 5, 1200, 1700, 10",
        "3, 3, 6, 1400, 1900, 10",
        "3, 3, 4, 1200, 1900, 10"
    })
    void countsDurationsFromReport(
            long leader, long sequence, long epoch, long leaseEnd, long freshEnd, long tokens) {
        ControlView view =
                answeredView()
                        .withUpdate(update(leader, sequence, epoch, 1), 950 * NANOS_PER_MILLI);
        assertEquals(true, view.isLeaseValid(GROUP, leaseEnd * NANOS_PER_MILLI - 1));
        assertEquals(false, view.isLeaseValid(GROUP, leaseEnd * NANOS_PER_MILLI));
        assertEquals(3, view.acknowledgeTerm(GROUP, leaseEnd * NANOS_PER_MILLI - 1));
        assertEquals(0, view.acknowledgeTerm(GROUP, leaseEnd * NANOS_PER_MILLI));
        assertEquals(true, view.isFresh(freshEnd * NANOS_PER_MILLI - 1));
        assertEquals(false, view.isFresh(freshEnd * NANOS_PER_MILLI));
        assertEquals(tokens, view.newTokens().stream().mapToLong(GrantedTokens::tokens).sum());
        assertEquals(7, view.state().version());
    }

    /**
     * Guards against a restarted process that takes the leases and tokens of the process before it
     * from an update that comes late.
     */
    @ParameterizedTest
    @CsvSource({"1, 2, 1", "1, 2, 3", "-7, 8, 3", "0, -1, 3"})
    void ignoresUpdatesForEarlierProcesses(long earlier, long later, int reports) {
        // The upper half of a random number tells the processes apart.
        ControlView before = sendReports(earlier << 40, reports);
        ControlView after = sendReports(later << 40, reports);
        ControlUpdate late = update(2, before.nextSequence() - 1, 5, 1);
        ControlView view = after.withUpdate(late, NANOS_PER_MILLI);
        assertEquals(false, view.isLeaseValid(GROUP, NANOS_PER_MILLI));
        assertEquals(0, view.newTokens().size());
        ControlUpdate own = update(2, after.nextSequence() - 1, 5, 1);
        assertEquals(
                true, view.withUpdate(own, NANOS_PER_MILLI).isLeaseValid(GROUP, NANOS_PER_MILLI));
    }

    private static ControlView sendReports(long incarnation, int count) {
        ControlView view = ControlView.empty(ControlViewTest::apply).ofProcess(incarnation);
        for (int i = 0; i < count; i++) {
            view = view.withReportSent(view.nextSequence(), 0);
        }
        return view;
    }

    @ParameterizedTest
    @CsvSource({"0, 10", "1199, 10", "1200, 0"})
    void ignoresExpiredTokens(long nowMillis, long tokens) {
        ControlView view =
                ControlView.empty(ControlViewTest::apply)
                        .withReportSent(1, 200 * NANOS_PER_MILLI)
                        .withUpdate(update(1, 1, 1, 1), nowMillis * NANOS_PER_MILLI);
        assertEquals(tokens, view.newTokens().stream().mapToLong(GrantedTokens::tokens).sum());
    }

    /**
     * Guards against a host that applies changes although earlier ones were lost on their way, and
     * against one that counts its state as current without them.
     */
    @ParameterizedTest
    @CsvSource({"7, 9, true", "6, 9, true", "8, 7, false"})
    void appliesOnlyChangesThatFollowItsState(long base, long version, boolean fresh) {
        ControlCommand command = new ControlCommand.RemoveEndpoint(EndpointId.of("e"));
        ControlUpdate next =
                new ControlUpdate(
                        2,
                        3,
                        9,
                        new StateUpdate.Changes(
                                base, List.of(new StateUpdate.VersionedCommand(9, command))),
                        1_500,
                        List.of(),
                        List.of());
        ControlView view = answeredView().withUpdate(next, 950 * NANOS_PER_MILLI);
        assertEquals(version, view.state().version());
        assertEquals(fresh, view.isFresh(1_800 * NANOS_PER_MILLI));
    }

    @ParameterizedTest
    @CsvSource({"0", "1"})
    void dropsUnlistedLeases(long sequence) {
        ControlUpdate none =
                new ControlUpdate(
                        2,
                        2 + sequence,
                        7,
                        new StateUpdate.Unchanged(),
                        1_500,
                        List.of(),
                        List.of());
        ControlView view = answeredView().withUpdate(none, 950 * NANOS_PER_MILLI);
        assertEquals(false, view.isLeaseValid(GROUP, 951 * NANOS_PER_MILLI));
        assertEquals(true, answeredView().isLeaseValid(GROUP, 951 * NANOS_PER_MILLI));
    }
}
