package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Workspace;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against tokens that are granted or credited twice, or lost. */
class TokenAllocatorTest {
    private static final long MS = 1_000_000;
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");
    private EntryRegistry mRegistry = EntryRegistry.of(0);
    // The rate is negligible; the bucket holds the burst of 10 at time 0.
    private TokenAllocator mAllocator =
            TokenAllocator.startingAt(configuration(0.001, 10), -10_000_000 * MS);
    private final Map<HostId, Long> mSequences = new HashMap<>();

    private List<TokenGrant> report(
            String name, long atMillis, long wanted, long spent, long answered) {
        return report(name, atMillis, new TokenDemand(WORKSPACE, wanted, spent), answered, false);
    }

    private List<TokenGrant> report(
            String name,
            long atMillis,
            TokenDemand demand,
            long answered,
            boolean reportsHoldings) {
        HostId id = HostId.of(name);
        long sequence = mSequences.merge(id, 1L, Long::sum);
        EntryReport report =
                new EntryReport(
                        id,
                        1,
                        DataCentreId.of("n"),
                        "127.0.0.1:1",
                        sequence,
                        0,
                        List.of(),
                        List.of(demand),
                        Set.of(),
                        false,
                        answered);
        mRegistry = mRegistry.with(report, atMillis * MS);
        RegisteredHost host = mRegistry.host(id).orElseThrow();
        mAllocator = mAllocator.with(host, report.demands(), reportsHoldings, atMillis * MS);
        return mAllocator.grantsFor(host);
    }

    private static long sum(List<TokenGrant> grants) {
        return grants.stream().mapToLong(TokenGrant::tokens).sum();
    }

    /** Guards against credits for tokens that may still be spent, and against missing credits. */
    @ParameterizedTest
    @CsvSource({
        // spent tokens, time and answered sequence of the last report, tokens granted to it
        "0, 1201, 2, 4",
        "0, 1300, 2, 4",
        "0, 1300, 3, 10",
        "3, 1300, 3, 7",
        "6, 1300, 3, 4",
        "0, 1700, 3, 4"
    })
    void creditsOnlyVoidTokens(long spent, long atMillis, long answered, long expected) {
        report("a", 0, 0, 0, 0);
        assertEquals(6, sum(report("a", 10, 6, 0, 1)));
        report("a", 1200, 0, 0, 2);
        assertEquals(expected, sum(report("a", atMillis, 20, spent, answered)));
    }

    /** Guards against tokens lost with an update, and against tokens doubled by its repetition. */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 0"})
    void repeatsAGrantUntilItIsConfirmed(long answered, int repeats) {
        report("a", 0, 0, 0, 0);
        List<TokenGrant> first = report("a", 10, 5, 0, 1);
        List<TokenGrant> second = report("a", 210, 5, 0, answered);
        assertEquals(1, first.size());
        assertEquals(repeats, second.size());
        second.forEach(
                g ->
                        assertEquals(
                                new TokenGrant(
                                        WORKSPACE,
                                        first.get(0).id(),
                                        5,
                                        first.get(0).durationMillis() - 200),
                                g));
    }

    /**
     * Guards against a leader that is kept busy by demands that change nothing. Nine leaseholders
     * with 90 workspaces send 4,000 of them a second.
     */
    @ParameterizedTest
    @CsvSource({
        // tokens wanted, tokens spent, time of the report, whether the bucket stays as it is
        "0, 0, 300, true",
        "0, 0, 4900, true",
        "0, 0, 5300, false",
        "1, 0, 300, false",
        "0, 1, 300, false"
    })
    void leavesBucketsOfSettledHostsAlone(
            long wanted, long spent, long atMillis, boolean unchanged) {
        report("a", 0, 0, 0, 0);
        report("a", 100, 0, 0, 1);
        TokenBucket before = mAllocator.buckets().get(WORKSPACE);
        report("a", atMillis, wanted, spent, 2);
        assertEquals(unchanged, before == mAllocator.buckets().get(WORKSPACE));
    }

    /** Guards against a host that receives all tokens, and against shares that are not granted. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5})
    void sharesAmongDemandingHosts(int hosts) {
        mAllocator = TokenAllocator.startingAt(configuration(100, 50), 0);
        long[] got = new long[hosts];
        for (int round = 0; round < 50; round++) {
            for (int i = 0; i < hosts; i++) {
                got[i] += sum(report("h" + i, round * 200 + i * 20, 40, got[i], round));
            }
        }
        LongSummaryStatistics all = Arrays.stream(got).summaryStatistics();
        assertTrue(all.getSum() >= 900 && all.getSum() <= 1_050, all.toString());
        assertTrue(all.getMax() <= 1.2 * all.getMin(), all.toString());
    }

    /**
     * Guards against a workspace that is blocked for a second after a change of the leader, and
     * against a new leader that grants more than the reserve of earlier leaders.
     */
    @ParameterizedTest
    @ValueSource(longs = {20, 200, 600, 1_000})
    void grantsTheReserveUntilEarlierGrantsAreVoid(long atMillis) {
        mAllocator = TokenAllocator.of(configuration(100, 50), Stream.of(holder("other", 1)), 0);
        report("h", 1, 0, 0, 0);
        report("h", 5, 0, 0, 1);
        long first = sum(report("h", atMillis, 40, 0, 2));
        assertTrue(first >= 1, "nothing is granted at " + atMillis);
        assertTrue(first <= 5, "granted " + first + " of a reserve of 5");
    }

    /**
     * Guards against a workspace that is limited to the reserve for a second after a change of the
     * leader although all holders have reported their tokens, and against grants of tokens that a
     * holder still has. Rate and burst are 40, the reserve is 2, the bucket is empty at time 0, and
     * the holder has spent nothing when it reports.
     */
    @ParameterizedTest
    @CsvSource({
        // process with the lease, whether it reports its tokens, its tokens, time, max, min grant
        "1, true, 0, 500, 20, 19",
        "1, true, 30, 900, 8, 7",
        "1, true, 38, 900, 0, 0",
        "1, false, 0, 500, 2, 1",
        "9, true, 0, 500, 20, 19",
        "9, false, 0, 500, 20, 19"
    })
    void countsReportedHoldings(
            long process,
            boolean reportsHoldings,
            long held,
            long atMillis,
            long most,
            long least) {
        mAllocator = TokenAllocator.of(configuration(40, 40), Stream.of(holder("h", process)), 0);
        report("h", 1, new TokenDemand(WORKSPACE, 0, 0, held), 0, reportsHoldings);
        report("h", 5, new TokenDemand(WORKSPACE, 0, 0, held), 1, reportsHoldings);
        long granted =
                sum(
                        report(
                                "h",
                                atMillis,
                                new TokenDemand(WORKSPACE, 40 + held, 0, held),
                                2,
                                reportsHoldings));
        assertTrue(granted >= least && granted <= most, "granted " + granted);
    }

    /** Guards against grants beyond the reserve while a silent holder may spend earlier grants. */
    @ParameterizedTest
    @CsvSource({"500, 2", "1100, 38"})
    void waitsForSilentHolder(long atMillis, long most) {
        mAllocator =
                TokenAllocator.of(
                        configuration(40, 40), Stream.of(holder("h", 1), holder("silent", 1)), 0);
        report("h", 1, new TokenDemand(WORKSPACE, 0, 0, 0), 0, true);
        report("h", 5, new TokenDemand(WORKSPACE, 0, 0, 0), 1, true);
        long granted = sum(report("h", atMillis, new TokenDemand(WORKSPACE, 40, 0, 0), 2, true));
        assertTrue(granted >= 1 && granted <= most, "granted " + granted);
    }

    private static Leaseholder holder(String host, long process) {
        return new Leaseholder(HostId.of(host), "127.0.0.1:1", process, 1);
    }

    private static Configuration configuration(double rate, long burst) {
        RateLimit limit = new RateLimit(rate, burst);
        return new Configuration(
                1,
                List.of(),
                List.of(new Workspace(WORKSPACE, limit, Set.of(), Map.of())),
                List.of(),
                List.of());
    }
}
