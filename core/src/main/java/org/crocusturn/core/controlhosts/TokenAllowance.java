package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.operators.RateLimit;

/**
 * The rate tokens of one workspace that a leaseholder may spend.
 *
 * <p>Immutable. All times are monotonic nanoseconds of this host. Adding and spending tokens copies
 * the list of grants, which has one element for each report of the last second.
 */
public final class TokenAllowance {
    /**
     * Time for which tokens are requested in advance. It covers a report interval of 200 ms and an
     * election of up to 600 ms, so that requests are served while the control leader changes.
     */
    private static final double PREFETCH_SECONDS = 0.8;

    /** Maximum number of tokens that a host holds for a workspace without recent requests. */
    private static final long MAX_IDLE_TOKENS = 3;

    /**
     * Divisor of the burst that limits the tokens held without recent requests. Under a low rate,
     * several hosts would otherwise hold the whole burst without spending it.
     */
    private static final long IDLE_BURST_DIVISOR = 10;

    /** Divisor of the burst that limits the tokens that all hosts hold ahead of need. */
    private static final long PREFETCH_BURST_DIVISOR = 4;

    /** Minimum time to wait for a token; the control leader answers a request within 30 ms. */
    private static final long MIN_WAIT_NANOS = 80_000_000;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Time constant of the observed rate, equal to the validity of granted tokens. */
    private static final double RATE_TIME_CONSTANT_SECONDS = 1.0;

    private static final TokenAllowance EMPTY = new TokenAllowance(List.of(), 0, 0, 0);

    private final List<Grant> mGrants;
    private final long mSpentTotal;
    private final double mRecentArrivals;
    private final long mArrivalsUpdatedNanos;

    private TokenAllowance(
            List<Grant> grants, long spentTotal, double recentArrivals, long arrivalsUpdatedNanos) {
        mGrants = grants;
        mSpentTotal = spentTotal;
        mRecentArrivals = recentArrivals;
        mArrivalsUpdatedNanos = arrivalsUpdatedNanos;
    }

    /** The unspent tokens of one grant. */
    private record Grant(long tokens, long expiresNanos) {}

    /** Returns an allowance without tokens. */
    public static TokenAllowance empty() {
        return EMPTY;
    }

    /** Returns the number of tokens that can be spent at the given time. */
    public long available(long nowNanos) {
        return mGrants.stream()
                .filter(grant -> grant.expiresNanos() - nowNanos > 0)
                .mapToLong(Grant::tokens)
                .sum();
    }

    /** Returns the number of tokens that a host holds for a workspace before its first request. */
    public static long idleTokens(RateLimit rate) {
        return Math.min(MAX_IDLE_TOKENS, rate.burst() / IDLE_BURST_DIVISOR);
    }

    /**
     * Returns the number of tokens that the host should hold, at most a part of the burst ahead of
     * need. Tokens that several leaseholders hold without spending them are missing elsewhere, so
     * all of them together hold no more than {@code 1 / }{@link #PREFETCH_BURST_DIVISOR} of the
     * burst; a call that finds no token waits for one of the leader.
     *
     * @param waiting number of requests that wait for a token
     * @param rate rate limit of the workspace
     * @param holders number of hosts that spend tokens of the workspace
     * @param nowNanos current time
     */
    public long wanted(long waiting, RateLimit rate, long holders, long nowNanos) {
        long limit = rate.burst() / (PREFETCH_BURST_DIVISOR * Math.max(1, holders));
        return waiting + Math.min(limit, idleTokens(rate) + wanted(0, nowNanos));
    }

    /**
     * Returns the time in nanoseconds for which a call waits for a token. It covers a request to
     * the control leader and the time that the rate takes to add one token, because a workspace
     * that stays within its rate and burst has one by then.
     */
    public static long waitNanos(RateLimit rate) {
        return Math.max(MIN_WAIT_NANOS, Math.round(NANOS_PER_SECOND / rate.perSecond()));
    }

    /** Returns the total number of tokens spent. */
    public long spentTotal() {
        return mSpentTotal;
    }

    /**
     * Returns the number of tokens that the host should hold for waiting and expected requests.
     *
     * @param waiting number of requests that wait for a token
     * @param nowNanos current time
     */
    public long wanted(long waiting, long nowNanos) {
        double rate = decayedArrivals(nowNanos) / RATE_TIME_CONSTANT_SECONDS;
        return waiting + (long) Math.ceil(rate * PREFETCH_SECONDS - 0.01);
    }

    /** Returns a copy with additional tokens that expire at the given time. */
    public TokenAllowance withGrant(long tokens, long expiresNanos) {
        if (tokens <= 0) {
            return this;
        }
        List<Grant> grants = new ArrayList<>(mGrants);
        grants.add(new Grant(tokens, expiresNanos));
        grants.sort(Comparator.comparingLong(grant -> grant.expiresNanos() - expiresNanos));
        return new TokenAllowance(
                List.copyOf(grants), mSpentTotal, mRecentArrivals, mArrivalsUpdatedNanos);
    }

    /** Returns a copy without tokens. */
    public TokenAllowance withoutGrants() {
        return new TokenAllowance(List.of(), mSpentTotal, mRecentArrivals, mArrivalsUpdatedNanos);
    }

    /** Returns a copy that counts one more request in the observed rate. */
    public TokenAllowance withArrival(long nowNanos) {
        return new TokenAllowance(mGrants, mSpentTotal, decayedArrivals(nowNanos) + 1, nowNanos);
    }

    /**
     * Returns a copy with one token spent, the one that expires first, or empty if no token is
     * valid.
     */
    public Optional<TokenAllowance> spend(long nowNanos) {
        List<Grant> valid =
                mGrants.stream().filter(grant -> grant.expiresNanos() - nowNanos > 0).toList();
        if (valid.isEmpty()) {
            return Optional.empty();
        }
        Grant first = valid.get(0);
        List<Grant> remaining = new ArrayList<>(valid.subList(1, valid.size()));
        if (first.tokens() > 1) {
            remaining.add(0, new Grant(first.tokens() - 1, first.expiresNanos()));
        }
        return Optional.of(
                new TokenAllowance(
                        List.copyOf(remaining),
                        mSpentTotal + 1,
                        mRecentArrivals,
                        mArrivalsUpdatedNanos));
    }

    private double decayedArrivals(long nowNanos) {
        double seconds = Math.max(0, nowNanos - mArrivalsUpdatedNanos) / 1e9;
        return mRecentArrivals * Math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TokenAllowance allowance
                && allowance.mGrants.equals(mGrants)
                && allowance.mSpentTotal == mSpentTotal
                && allowance.mRecentArrivals == mRecentArrivals
                && allowance.mArrivalsUpdatedNanos == mArrivalsUpdatedNanos;
    }

    @Override
    public int hashCode() {
        return Objects.hash(mGrants, mSpentTotal);
    }

    @Override
    public String toString() {
        return "TokenAllowance[" + mGrants + ", spent " + mSpentTotal + "]";
    }
}
