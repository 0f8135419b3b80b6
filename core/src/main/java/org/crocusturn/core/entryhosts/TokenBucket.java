package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.operators.RateLimit;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The token bucket of a workspace. Immutable.
 *
 * <p>The level plus the unsettled grants never exceeds the limit given by {@link TokenAllocator}.
 * Each operation costs O(hosts that demand tokens of the workspace). Except during lease moves,
 * there are at most as many of them as services of the workspace. A bucket is not touched by the
 * reports of a host that neither needs nor spends its tokens ({@link #isSettled}): a leader with
 * hundreds of hosts gets thousands of these demands a second.
 *
 * @param level tokens available for grants; negative after a reduction of the burst
 * @param filledNanos time up to which the level includes the rate
 * @param ledgersFromNanos time from which a report may open a ledger; spending in an earlier report
 *     may belong to grants of a dropped ledger
 * @param ledgers ledgers by process
 */
record TokenBucket(
        double level, long filledNanos, long ledgersFromNanos, PMap<Process, TokenLedger> ledgers) {
    /** Id for tokens granted by earlier leaders; ids of this leader start at 1. */
    private static final long ADOPTED_GRANT_ID = 0;

    /** Identifies a process of an entry host. */
    record Process(HostId host, long incarnation) {
        static Process of(RegisteredHost host) {
            return new Process(host.id(), host.incarnation());
        }
    }

    TokenBucket {
        Objects.requireNonNull(ledgers, "ledgers");
    }

    static TokenBucket of(long startNanos) {
        return new TokenBucket(0, startNanos, startNanos, HashTreePMap.empty());
    }

    long outstanding() {
        return ledgers.values().stream().mapToLong(TokenLedger::outstanding).sum();
    }

    /**
     * Returns whether a demand of a host changes nothing: the host has no tokens, needs none and
     * has spent none since its last demand that was handled.
     */
    boolean isSettled(RegisteredHost host, TokenDemand demand) {
        TokenLedger ledger = ledgers.get(Process.of(host));
        return ledger != null && ledger.isSettled(demand, host.reportNanos());
    }

    /** Returns the bucket refilled up to a time; it stays empty before its start time. */
    TokenBucket refilled(RateLimit rate, double limit, long nowNanos) {
        TokenBucket current = withoutExpired(nowNanos);
        long elapsed = Math.max(0, nowNanos - filledNanos);
        double filled = level + rate.perSecond() * elapsed / Duration.ofSeconds(1).toNanos();
        return new TokenBucket(
                Math.min(filled, limit - current.outstanding()),
                filledNanos + elapsed,
                current.ledgersFromNanos(),
                current.ledgers());
    }

    /** Forfeits the grants that are due, and drops the ledgers of processes that are gone. */
    private TokenBucket withoutExpired(long nowNanos) {
        PMap<Process, TokenLedger> next = ledgers;
        long from = ledgersFromNanos;
        for (Map.Entry<Process, TokenLedger> entry : ledgers.entrySet()) {
            if (entry.getValue().isIdle(nowNanos)) {
                next = next.minus(entry.getKey());
                from = Math.max(ledgersFromNanos, nowNanos);
            } else if (entry.getValue().hasForfeits(nowNanos)) {
                next = next.plus(entry.getKey(), entry.getValue().withForfeits(nowNanos));
            }
        }
        return new TokenBucket(level, filledNanos, from, next);
    }

    /**
     * Returns the bucket after a host's report was settled, without a new grant. A process gets a
     * ledger once all earlier grants to it are void or reported, and their spending is known.
     *
     * @param adoptsHoldings whether the tokens that the process holds count as granted by this
     *     leader
     */
    TokenBucket withDemand(
            RegisteredHost host, TokenDemand demand, boolean adoptsHoldings, double limit) {
        TokenLedger known = ledgers.get(Process.of(host));
        if (known == null) {
            boolean earlierSpendingKnown =
                    host.answerConfirmed() && host.sentAfterNanos() - ledgersFromNanos >= 0;
            return earlierSpendingKnown ? withNewLedger(host, demand, adoptsHoldings, limit) : this;
        }
        TokenLedger spent = known.withSpent(demand.spentTotal(), host.reportNanos());
        long refund = spent.refund(host.sentAfterNanos());
        TokenLedger settled = spent.withoutVoidGrants(host.sentAfterNanos());
        TokenBucket next = withLedger(host, settled);
        double cap = limit - next.outstanding();
        return new TokenBucket(
                Math.min(level + refund, cap), filledNanos, ledgersFromNanos, next.ledgers());
    }

    private TokenBucket withNewLedger(
            RegisteredHost host, TokenDemand demand, boolean adoptsHoldings, double limit) {
        // The report was sent after the host received these grants, so the expiry computed from
        // its arrival time is not too early.
        List<OutstandingGrant> held =
                adoptsHoldings && demand.held() > 0
                        ? List.of(
                                new OutstandingGrant(
                                        ADOPTED_GRANT_ID,
                                        demand.held(),
                                        demand.held(),
                                        host.sequence(),
                                        host.reportNanos(),
                                        false))
                        : List.of();
        TokenBucket next =
                withLedger(
                        host,
                        new TokenLedger(
                                demand.spentTotal(),
                                0,
                                host.reportNanos(),
                                host.reportNanos(),
                                held));
        return new TokenBucket(
                Math.min(level, limit - next.outstanding()),
                filledNanos,
                ledgersFromNanos,
                next.ledgers());
    }

    /**
     * Returns the number of tokens to grant to a host: its need, limited by its share. Each
     * demanding host has a claim to an equal part of the tokens added since its last grant, and
     * receives an equal part of the level that exceeds all claims. Because claims accrue over time,
     * demanding hosts together reach the full rate no matter how rarely they report.
     */
    long grantable(RegisteredHost host, TokenDemand demand, RateLimit rate, long nowNanos) {
        TokenLedger ledger = ledgers.get(Process.of(host));
        if (ledger == null || level < 1 || demand.wanted() <= ledger.held(nowNanos)) {
            return 0;
        }
        List<TokenLedger> others = otherDemandingLedgers(host, nowNanos);
        double sharePerSecond = rate.perSecond() / (others.size() + 1);
        double ownClaim = claimedTokens(ledger, sharePerSecond, nowNanos);
        double totalClaims =
                ownClaim
                        + others.stream()
                                .mapToDouble(
                                        o ->
                                                Math.min(
                                                        o.unmet(),
                                                        claimedTokens(o, sharePerSecond, nowNanos)))
                                .sum();
        double share =
                level >= totalClaims
                        ? ownClaim + (level - totalClaims) / (others.size() + 1)
                        : level * ownClaim / totalClaims;
        long need = demand.wanted() - ledger.held(nowNanos);
        return Math.min(need, (long) Math.max(1, share));
    }

    private List<TokenLedger> otherDemandingLedgers(RegisteredHost host, long nowNanos) {
        return ledgers.entrySet().stream()
                .filter(e -> !e.getKey().equals(Process.of(host)))
                .map(Map.Entry::getValue)
                .filter(l -> l.isDemanding(nowNanos))
                .toList();
    }

    private static double claimedTokens(TokenLedger ledger, double perSecond, long nowNanos) {
        long claim = Math.min(nowNanos - ledger.claimServedNanos(), TokenLedger.MAX_CLAIM_NANOS);
        return perSecond * claim / Duration.ofSeconds(1).toNanos();
    }

    TokenBucket withGrant(
            RegisteredHost host, TokenDemand demand, RateLimit rate, long id, long tokens) {
        TokenLedger ledger = ledgers.get(Process.of(host));
        if (ledger == null) {
            return this;
        }
        long unmet = Math.max(0, demand.wanted() - ledger.held(host.reportNanos()) - tokens);
        if (tokens == 0) {
            return unmet == ledger.unmet() ? this : withLedger(host, ledger.withUnmet(unmet));
        }
        double sharePerSecond =
                rate.perSecond() / (otherDemandingLedgers(host, host.reportNanos()).size() + 1);
        double nanos =
                Math.min(
                        tokens / sharePerSecond * Duration.ofSeconds(1).toNanos(),
                        TokenLedger.MAX_CLAIM_NANOS);
        OutstandingGrant grant =
                new OutstandingGrant(
                        id, tokens, tokens, host.sequence(), host.reportNanos(), false);
        return new TokenBucket(level - tokens, filledNanos, ledgersFromNanos, ledgers)
                .withLedger(host, ledger.withGrant(grant, unmet, (long) nanos));
    }

    private TokenBucket withLedger(RegisteredHost host, TokenLedger ledger) {
        return new TokenBucket(
                level, filledNanos, ledgersFromNanos, ledgers.plus(Process.of(host), ledger));
    }
}
