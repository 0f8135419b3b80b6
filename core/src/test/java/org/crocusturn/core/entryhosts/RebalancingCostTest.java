package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.endpoints.FailureDetector;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.Leaseholder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a control leader that is kept busy by choosing hosts for leases that stay where
 * they are. With 14 groups and 100 hosts, it evaluated 70,000 candidates a second.
 */
class RebalancingCostTest {
    private static final long MS = 1_000_000;
    private static final long TICK_MILLIS = 20;
    private static final long WARM_UP_MILLIS = 3_000;

    private final Map<GroupId, Integer> mChoices = new HashMap<>();
    private long mCandidates;

    @ParameterizedTest
    @CsvSource({"1, 3", "3, 11", "14, 100", "60, 100", "600, 20"})
    void looksAtEachGroupOnceInHalfASecond(int groups, int hosts) {
        List<String> databases = IntStream.range(0, groups).mapToObj(g -> "db" + g).toList();
        ControlState control =
                InheritedLeaseFixture.of(
                        databases, new Leaseholder(HostId.of("h0"), "127.0.0.1:0", 0, 1));
        ControlLeader leader =
                ControlLeader.of(
                        (group, dataCentre, candidates) -> {
                            mChoices.merge(group, 1, Integer::sum);
                            mCandidates += candidates.size();
                            return candidates.stream()
                                    .filter(PlacementPolicy.Candidate::holder)
                                    .map(PlacementPolicy.Candidate::host)
                                    .findFirst();
                        },
                        FailureDetector.standard());
        LeaderState state =
                leader.step(
                                LeaderState.idle(),
                                new LeaderInput.LeadershipGained(
                                        1, control, CommandHistory.of(control)),
                                0)
                        .state();
        int measured = LeaseDecisions.TICKS_PER_REBALANCING;
        long end = WARM_UP_MILLIS + measured * TICK_MILLIS;
        for (long millis = TICK_MILLIS; millis <= end; millis += TICK_MILLIS) {
            if (millis % 200 == 0) {
                for (int host = 0; host < hosts; host++) {
                    EntryReport report = report(host, millis / 200, databases);
                    state =
                            leader.step(state, new LeaderInput.ReportReceived(report), millis * MS)
                                    .state();
                }
            }
            if (millis == WARM_UP_MILLIS + TICK_MILLIS) {
                mChoices.clear();
                mCandidates = 0;
            }
            state = leader.step(state, new LeaderInput.Tick(), millis * MS).state();
        }
        assertEquals(groups, mChoices.size());
        assertTrue(mCandidates <= (long) hosts * Math.max(measured, 2 * groups), "" + mCandidates);
    }

    private static EntryReport report(int host, long sequence, List<String> databases) {
        List<HeldLease> held =
                databases.stream()
                        .filter(d -> host == 0)
                        .map(d -> GroupId.of(InheritedLeaseFixture.SERVICE, d))
                        .map(g -> new HeldLease(g, 1, 0, false, 0))
                        .toList();
        return InheritedLeaseFixture.report(HostId.of("h" + host), host, sequence, held);
    }
}
