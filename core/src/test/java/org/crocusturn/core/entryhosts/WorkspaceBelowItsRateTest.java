package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.IntStream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.TokenAllowance;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Workspace;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against rejections of a workspace that stays below its rate while its calls go to several
 * leaseholders. Each of them held tokens ahead of need, so that a small burst was spread over hosts
 * that did not spend it.
 *
 * <p>Replays calls at random times and hosts against the leader's allocator in simulated time.
 */
class WorkspaceBelowItsRateTest {
    private static final long MS = 1_000_000;
    private static final long RUN_MILLIS = 60_000;
    private static final long FULL_REPORT_MILLIS = 200;
    private static final long TOKEN_REQUEST_MILLIS = 20;
    private static final long ONE_WAY_MILLIS = 2;
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.id, b.id));
    private final Random mRandom = new Random(6);
    private EntryRegistry mRegistry = EntryRegistry.of(0);
    private TokenAllocator mAllocator;
    private RateLimit mRate;
    private int mHosts;
    private long mNextEvent;
    private long mCalls;
    private long mRejected;

    private record Event(long at, long id, Runnable action) {}

    /** A leaseholder with the calls that wait for tokens. */
    private static final class Holder {
        private final HostId mId;
        private final Deque<Long> mWaiting = new ArrayDeque<>();
        private final List<Long> mSeen = new ArrayList<>();
        private TokenAllowance mTokens = TokenAllowance.empty();
        private long mSequence;
        private long mAnswered;
        private long mLastReport = -1_000;
        private boolean mRequested;

        private Holder(int index) {
            mId = HostId.of("h" + index);
        }
    }

    @ParameterizedTest
    @CsvSource({
        // leaseholders, rate and burst, calls per second
        "1, 5, 3",
        "6, 5, 3",
        "6, 8, 5",
        "6, 16, 10",
        "6, 64, 40"
    })
    void rejectsNothing(int hosts, long rate, long callsPerSecond) {
        run(hosts, new RateLimit(rate, rate), () -> randomPause(callsPerSecond));
        assertTrue(mRejected == 0, mRejected + " of " + mCalls + " calls were rejected");
    }

    /** Guards against a reserve for the next leader that leaves nothing of a burst of one. */
    @ParameterizedTest
    @CsvSource({
        // leaseholders, rate, burst
        "1, 88, 1",
        "6, 88, 1",
        "6, 1000000, 1",
        "6, 10, 1",
        "6, 88, 2"
    })
    void rejectsNoCallEachSecond(int hosts, double rate, long burst) {
        run(hosts, new RateLimit(rate, burst), () -> 1.0);
        assertTrue(mRejected == 0, mRejected + " of " + mCalls + " calls were rejected");
    }

    /** Guards against a burst that is used up by tokens whose spending is not reported yet. */
    @ParameterizedTest
    @CsvSource({
        // leaseholders, rate, burst, calls per second
        "1, 88, 1, 40",
        "6, 88, 1, 40",
        "6, 88, 1, 1",
        "6, 10, 1, 5",
        "6, 88, 2, 40"
    })
    void rejectsNothingOfASmallBurst(int hosts, double rate, long burst, long callsPerSecond) {
        run(hosts, new RateLimit(rate, burst), () -> randomPause(callsPerSecond));
        assertTrue(mRejected == 0, mRejected + " of " + mCalls + " calls were rejected");
    }

    private double randomPause(long callsPerSecond) {
        return -Math.log(1 - mRandom.nextDouble()) / callsPerSecond;
    }

    /**
     * Replays calls that never exceed rate x time + burst, the limit of the workspace.
     *
     * @param pauses time between two calls, in seconds
     */
    private void run(int hosts, RateLimit limit, DoubleSupplier pauses) {
        mRate = limit;
        mHosts = hosts;
        mAllocator =
                TokenAllocator.startingAt(
                        new Configuration(
                                1,
                                List.of(),
                                List.of(new Workspace(WORKSPACE, mRate, Set.of(), Map.of())),
                                List.of(),
                                List.of(),
                                Map.of(),
                                List.of()),
                        -100_000 * MS);
        List<Holder> holders = IntStream.range(0, hosts).mapToObj(Holder::new).toList();
        holders.forEach(h -> at(mRandom.nextInt((int) FULL_REPORT_MILLIS), () -> regular(h)));
        double level = limit.burst();
        double last = 2_000;
        for (double t = 2_000; t < RUN_MILLIS; ) {
            t += pauses.getAsDouble() * 1_000;
            level = Math.min(limit.burst(), level + (t - last) * limit.perSecond() / 1_000);
            last = t;
            if (level >= 1) {
                level--;
                Holder holder = holders.get(mRandom.nextInt(hosts));
                at((long) t, () -> call(holder));
            }
        }
        while (!mEvents.isEmpty() && mEvents.peek().at < RUN_MILLIS + 1_000) {
            Event event = mEvents.remove();
            mNow = event.at;
            event.action.run();
        }
    }

    private long mNow;

    private void at(long millis, Runnable action) {
        mEvents.add(new Event(millis, mNextEvent++, action));
    }

    private void regular(Holder holder) {
        report(holder);
        at(mNow + FULL_REPORT_MILLIS, () -> regular(holder));
    }

    private void call(Holder holder) {
        mCalls++;
        long now = mNow;
        holder.mTokens = holder.mTokens.withArrival(now * MS);
        holder.mWaiting.add(now);
        spend(holder);
        if (holder.mWaiting.contains(now)) {
            at(now + TokenAllowance.waitNanos(mRate) / MS, () -> expire(holder, now));
            request(holder);
        }
    }

    private void request(Holder holder) {
        if (!holder.mRequested) {
            holder.mRequested = true;
            at(
                    Math.max(mNow, holder.mLastReport + TOKEN_REQUEST_MILLIS),
                    () -> {
                        holder.mRequested = false;
                        report(holder);
                    });
        }
    }

    private void expire(Holder holder, long arrived) {
        if (holder.mWaiting.remove(arrived)) {
            mRejected++;
        }
    }

    private void spend(Holder holder) {
        while (!holder.mWaiting.isEmpty()) {
            Optional<TokenAllowance> rest = holder.mTokens.spend(mNow * MS);
            if (rest.isEmpty()) {
                return;
            }
            holder.mTokens = rest.get();
            holder.mWaiting.remove();
        }
    }

    private void report(Holder holder) {
        long sent = mNow;
        holder.mLastReport = sent;
        EntryReport report =
                new EntryReport(
                        holder.mId,
                        1,
                        DataCentreId.of("n"),
                        "127.0.0.1:1",
                        ++holder.mSequence,
                        0,
                        List.of(),
                        List.of(
                                new TokenDemand(
                                        WORKSPACE,
                                        holder.mTokens.wanted(
                                                holder.mWaiting.size(), mRate, mHosts, sent * MS),
                                        holder.mTokens.spentTotal(),
                                        holder.mTokens.available(sent * MS))),
                        Set.of(),
                        false,
                        holder.mAnswered);
        at(
                sent + ONE_WAY_MILLIS,
                () -> {
                    mRegistry = mRegistry.with(report, mNow * MS);
                    RegisteredHost host = mRegistry.host(holder.mId).orElseThrow();
                    mAllocator = mAllocator.with(host, report.demands(), false, mNow * MS);
                    List<TokenGrant> grants = mAllocator.grantsFor(host);
                    at(
                            mNow + ONE_WAY_MILLIS,
                            () -> receive(holder, report.sequence(), sent, grants));
                });
    }

    private void receive(Holder holder, long sequence, long sent, List<TokenGrant> grants) {
        holder.mAnswered = Math.max(holder.mAnswered, sequence);
        for (TokenGrant grant : grants) {
            if (!holder.mSeen.contains(grant.id())) {
                holder.mSeen.add(grant.id());
                holder.mTokens =
                        holder.mTokens.withGrant(
                                grant.tokens(), (sent + grant.durationMillis()) * MS);
            }
        }
        spend(holder);
    }
}
