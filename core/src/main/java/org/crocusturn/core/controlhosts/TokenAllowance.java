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
    private static final double AHEAD_SECONDS = 0.8;

    /** Maximum number of tokens that a host holds for a workspace without recent requests. */
    private static final long LEAST_TOKENS = 3;

    /**
     * Divisor of the burst that limits the tokens held without recent requests. Under a low rate,
     * several hosts would otherwise hold the whole burst without spending it.
     */
    private static final long LEAST_DIVISOR = 10;

    /** Time constant of the observed rate, equal to the validity of granted tokens. */
    private static final double RATE_SECONDS = 1.0;

    private static final TokenAllowance EMPTY = new TokenAllowance(List.of(), 0, 0, 0);

    private final List<Share> mShares;
    private final long mSpentTotal;
    private final double mRecent;
    private final long mRecentAtNanos;

    private TokenAllowance(List<Share> shares, long spentTotal, double recent, long recentAtNanos) {
        mShares = shares;
        mSpentTotal = spentTotal;
        mRecent = recent;
        mRecentAtNanos = recentAtNanos;
    }

    /** The unspent tokens of one grant. */
    private record Share(long tokens, long expiresNanos) {}

    /** Returns an allowance without tokens. */
    public static TokenAllowance empty() {
        return EMPTY;
    }

    /** Returns the number of tokens that can be spent at the given time. */
    public long available(long nowNanos) {
        return mShares.stream()
                .filter(s -> s.expiresNanos() - nowNanos > 0)
                .mapToLong(Share::tokens)
                .sum();
    }

    /** Returns the number of tokens that a host holds for a workspace before its first request. */
    public static long least(RateLimit rate) {
        return Math.min(LEAST_TOKENS, rate.burst() / LEAST_DIVISOR);
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
        double rate = decayed(nowNanos) / RATE_SECONDS;
        return waiting + (long) Math.ceil(rate * AHEAD_SECONDS - 0.01);
    }

    /** Returns a copy with additional tokens that expire at the given time. */
    public TokenAllowance withGrant(long tokens, long expiresNanos) {
        if (tokens <= 0) {
            return this;
        }
        List<Share> shares = new ArrayList<>(mShares);
        shares.add(new Share(tokens, expiresNanos));
        shares.sort(Comparator.comparingLong(s -> s.expiresNanos() - expiresNanos));
        return new TokenAllowance(List.copyOf(shares), mSpentTotal, mRecent, mRecentAtNanos);
    }

    /** Returns a copy without tokens. */
    public TokenAllowance withoutGrants() {
        return new TokenAllowance(List.of(), mSpentTotal, mRecent, mRecentAtNanos);
    }

    /** Returns a copy that counts one more request in the observed rate. */
    public TokenAllowance withArrival(long nowNanos) {
        return new TokenAllowance(mShares, mSpentTotal, decayed(nowNanos) + 1, nowNanos);
    }

    /**
     * Returns a copy with one token spent, the one that expires first, or empty if no token is
     * valid.
     */
    public Optional<TokenAllowance> spend(long nowNanos) {
        List<Share> live = mShares.stream().filter(s -> s.expiresNanos() - nowNanos > 0).toList();
        if (live.isEmpty()) {
            return Optional.empty();
        }
        Share first = live.get(0);
        List<Share> rest = new ArrayList<>(live.subList(1, live.size()));
        if (first.tokens() > 1) {
            rest.add(0, new Share(first.tokens() - 1, first.expiresNanos()));
        }
        return Optional.of(
                new TokenAllowance(List.copyOf(rest), mSpentTotal + 1, mRecent, mRecentAtNanos));
    }

    private double decayed(long nowNanos) {
        double seconds = Math.max(0, nowNanos - mRecentAtNanos) / 1e9;
        return mRecent * Math.exp(-seconds / RATE_SECONDS);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TokenAllowance allowance
                && allowance.mShares.equals(mShares)
                && allowance.mSpentTotal == mSpentTotal
                && allowance.mRecent == mRecent
                && allowance.mRecentAtNanos == mRecentAtNanos;
    }

    @Override
    public int hashCode() {
        return Objects.hash(mShares, mSpentTotal);
    }

    @Override
    public String toString() {
        return "TokenAllowance[" + mShares + ", spent " + mSpentTotal + "]";
    }
}
