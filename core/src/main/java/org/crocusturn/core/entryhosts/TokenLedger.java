package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.crocusturn.core.controlhosts.TokenDemand;

/**
 * Account of the tokens of a workspace that were granted to a process. Immutable.
 *
 * @param spentTotal total spending that has been deducted from grants
 * @param unmet tokens that the process demanded and did not receive
 * @param reportNanos time of its last report
 * @param claimServedNanos time up to which its claim to the rate has been met
 * @param grants unsettled grants, oldest first
 */
record TokenLedger(
        long spentTotal,
        long unmet,
        long reportNanos,
        long claimServedNanos,
        List<OutstandingGrant> grants) {
    /** Age from which a grant no longer reduces the need of the host. */
    static final long RENEWAL_AGE_NANOS = Duration.ofMillis(700).toNanos();

    /** Maximum claim to the rate that a host accumulates while it demands nothing. */
    static final long MAX_CLAIM_NANOS = Duration.ofMillis(500).toNanos();

    /** Age from which a ledger is updated although nothing has changed. */
    private static final long REFRESH_NANOS = LeaseTimes.HOST_REMOVAL_NANOS / 2;

    /** Time after its expiry at which the tokens of an unsettled grant are forfeited. */
    static final long FORFEIT_DELAY_NANOS = Duration.ofMillis(500).toNanos();

    TokenLedger {
        grants = List.copyOf(grants);
    }

    /** Returns the tokens that may still be spent or credited. */
    long outstanding() {
        return grants.isEmpty()
                ? 0
                : grants.stream().mapToLong(OutstandingGrant::outstanding).sum();
    }

    /** Returns the tokens of grants that are not due for renewal. */
    long held(long nowNanos) {
        return grants.stream()
                .filter(g -> nowNanos - g.reportNanos() < RENEWAL_AGE_NANOS)
                .mapToLong(OutstandingGrant::outstanding)
                .sum();
    }

    /** Returns whether the process reported an unmet demand within the last 500 ms. */
    boolean isDemanding(long nowNanos) {
        return unmet > 0 && nowNanos - reportNanos < LeaseTimes.HOST_TIMEOUT_NANOS;
    }

    /**
     * Returns whether a demand changes nothing: the process has no grants, needs none and has spent
     * nothing. It is handled nevertheless from time to time, so that the process does not count as
     * gone.
     */
    boolean isSettled(TokenDemand demand, long nowNanos) {
        return grants.isEmpty()
                && unmet == 0
                && demand.wanted() == 0
                && demand.spentTotal() == spentTotal
                && nowNanos - reportNanos < REFRESH_NANOS;
    }

    /** Returns whether the process sent no report for 10 s; all its grants are void by then. */
    boolean isIdle(long nowNanos) {
        return nowNanos - reportNanos >= LeaseTimes.HOST_REMOVAL_NANOS;
    }

    /**
     * Returns the ledger after a report. New spending is deducted from the oldest grants first.
     * Void grants are always the oldest, so the tokens left on them never exceed their unspent
     * tokens.
     */
    TokenLedger withSpent(long total, long nowNanos) {
        long unassigned = Math.max(0, total - spentTotal);
        List<OutstandingGrant> next = new ArrayList<>();
        for (OutstandingGrant grant : grants) {
            long taken = Math.min(unassigned, grant.unspent());
            unassigned -= taken;
            next.add(grant.withUnspent(grant.unspent() - taken));
        }
        return new TokenLedger(
                Math.max(total, spentTotal), unmet, nowNanos, claimServedNanos, next);
    }

    /** Returns the unspent tokens of grants that were void before the latest report was sent. */
    long refund(long sentAfterNanos) {
        return grants.stream()
                .filter(g -> g.isVoid(sentAfterNanos))
                .mapToLong(OutstandingGrant::outstanding)
                .sum();
    }

    /** Returns the ledger without the grants that were void before the latest report was sent. */
    TokenLedger withoutVoidGrants(long sentAfterNanos) {
        return new TokenLedger(
                spentTotal,
                unmet,
                reportNanos,
                claimServedNanos,
                grants.stream().filter(g -> !g.isVoid(sentAfterNanos)).toList());
    }

    /** Returns whether a grant expired so long ago that its tokens are forfeited. */
    boolean hasForfeits(long nowNanos) {
        return !grants.isEmpty() && grants.stream().anyMatch(g -> isForfeitDue(g, nowNanos));
    }

    /** Returns the ledger with the tokens forfeited that are due. */
    TokenLedger withForfeits(long nowNanos) {
        return new TokenLedger(
                spentTotal,
                unmet,
                reportNanos,
                claimServedNanos,
                grants.stream().map(g -> isForfeitDue(g, nowNanos) ? g.withForfeit() : g).toList());
    }

    /** Returns the ledger with a new grant that reduces the claim by {@code claimNanos}. */
    TokenLedger withGrant(OutstandingGrant grant, long stillUnmet, long claimNanos) {
        List<OutstandingGrant> next = new ArrayList<>(grants);
        next.add(grant);
        long oldest = reportNanos - MAX_CLAIM_NANOS;
        long served = Math.max(claimServedNanos, oldest) + claimNanos;
        return new TokenLedger(
                spentTotal, stillUnmet, reportNanos, Math.min(reportNanos, served), next);
    }

    TokenLedger withUnmet(long value) {
        return new TokenLedger(spentTotal, value, reportNanos, claimServedNanos, grants);
    }

    private static boolean isForfeitDue(OutstandingGrant grant, long nowNanos) {
        return !grant.forfeited() && grant.isVoid(nowNanos - FORFEIT_DELAY_NANOS);
    }
}
