package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.Leaseholder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against groups that are unavailable for the duration of a lease after all hosts restarted,
 * and against a second holder while the first one may still run.
 */
class LeaseResumptionTest {
    private static final long MS = 1_000_000;
    private static final HostId HOST = HostId.of("entry-0");
    private static final String ADDRESS = "127.0.0.1:1";
    private static final long OLD_PROCESS = 11;

    private static final ControlState INHERITED =
            InheritedLeaseFixture.of(List.of("a"), new Leaseholder(HOST, ADDRESS, OLD_PROCESS, 1));

    private LeaderState mState = LeaderState.idle();
    private final List<ControlCommand> mProposed = new ArrayList<>();

    /** A process of the holder's host reports during the first 100 ms of the leadership. */
    @ParameterizedTest
    @CsvSource({
        // process, link address, reports, commands
        "12, 127.0.0.1:1, 2, 'ReleaseLease AssignLease'",
        "12, 127.0.0.1:1, 1, ''",
        "12, 127.0.0.1:2, 2, ''",
        "11, 127.0.0.1:1, 2, ''"
    })
    void resumesOnlyAfterTheHolderHasEnded(
            long process, String address, int reports, String expected) {
        step(new LeaderInput.LeadershipGained(2, INHERITED), 0);
        for (int i = 1; i <= reports; i++) {
            step(new LeaderInput.ReportReceived(report(process, address, i)), 50 * MS * i);
        }
        step(new LeaderInput.Tick(), 101 * MS);
        assertEquals(
                expected,
                String.join(
                        " ", mProposed.stream().map(c -> c.getClass().getSimpleName()).toList()));
    }

    private void step(LeaderInput input, long nowNanos) {
        Decision<LeaderState, LeaderAction> decision =
                ControlLeader.standard().step(mState, input, nowNanos);
        mState = decision.state();
        decision.actions().stream()
                .filter(LeaderAction.Propose.class::isInstance)
                .map(action -> ((LeaderAction.Propose) action).command())
                .forEach(mProposed::add);
    }

    private static EntryReport report(long process, String address, long sequence) {
        return new EntryReport(
                HOST,
                process,
                InheritedLeaseFixture.DATA_CENTRE,
                address,
                sequence,
                0,
                List.of(),
                List.of(),
                Set.of(),
                false,
                sequence - 1);
    }
}
