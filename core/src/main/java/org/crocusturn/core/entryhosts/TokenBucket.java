package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.operators.RateLimit;

/**
 * Is the token bucket of one workspace. Immutable.
 *
 * <p>Level plus unsettled grants never exceeds the limit that the authority gives. Each step costs
 * O(hosts that demand tokens of the workspace), which is at most the number of its services outside
 * of lease moves.
 *
 * @param level tokens that can be granted; negative after the burst was reduced
 * @param filledNanos time up to which the rate is in the level
 * @param safeNanos spending that a process reported before this time may be of forgotten grants
 * @param ledgers accounts by process
 */
record TokenBucket(
        double level, long filledNanos, long safeNanos, Map<Process, TokenLedger> ledgers) {
    /** Number of the grants of earlier leaders; this leader's numbers begin with 1. */
    private static final long ADOPTED = 0;

    /** Names one process of an entry host. */
    record Process(HostId host, long incarnation) {
        static Process of(RegisteredHost host) {
            return new Process(host.id(), host.incarnation());
        }
    }

    TokenBucket {
        ledgers = Map.copyOf(ledgers);
    }

    static TokenBucket of(long startNanos) {
        return new TokenBucket(0, startNanos, startNanos, Map.of());
    }

    long counted() {
        return ledgers.values().stream().mapToLong(TokenLedger::counted).sum();
    }

    /** Returns the bucket filled up to a time; before its start it stays empty. */
    TokenBucket at(RateLimit rate, double limit, long nowNanos) {
        Map<Process, TokenLedger> current = new HashMap<>(ledgers);
        current.replaceAll((process, ledger) -> ledger.withForfeits(nowNanos));
        boolean dropped = current.values().removeIf(l -> l.isIdle(nowNanos));
        long outstanding = current.values().stream().mapToLong(TokenLedger::counted).sum();
        long elapsed = Math.max(0, nowNanos - filledNanos);
        double filled = level + rate.perSecond() * elapsed / Duration.ofSeconds(1).toNanos();
        return new TokenBucket(
                Math.min(filled, limit - outstanding),
                filledNanos + elapsed,
                dropped ? Math.max(safeNanos, nowNanos) : safeNanos,
                current);
    }

    /**
     * Returns the bucket after a host's report, settled but without a new grant. A process gets an
     * account once all earlier grants to it are void or told, and their spending is known.
     *
     * @param adopts whether the tokens that the process holds count as granted by this leader
     */
    TokenBucket withDemand(RegisteredHost host, TokenDemand demand, boolean adopts, double limit) {
        TokenLedger known = ledgers.get(Process.of(host));
        if (known == null) {
            boolean safe = host.proved() && host.sentAfterNanos() - safeNanos >= 0;
            return safe ? withNewLedger(host, demand, adopts, limit) : this;
        }
        TokenLedger spent = known.withSpent(demand.spentTotal(), host.reportNanos());
        long refund = spent.refund(host.sentAfterNanos());
        TokenLedger settled = spent.withoutVoid(host.sentAfterNanos());
        TokenBucket next = withLedger(host, settled);
        double cap = limit - next.counted();
        return new TokenBucket(
                Math.min(level + refund, cap), filledNanos, safeNanos, next.ledgers());
    }

    private TokenBucket withNewLedger(
            RegisteredHost host, TokenDemand demand, boolean adopts, double limit) {
        // The report came after the grants that it tells, so they are void no later than it says.
        List<OutstandingGrant> held =
                adopts && demand.held() > 0
                        ? List.of(
                                new OutstandingGrant(
                                        ADOPTED,
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
                Math.min(level, limit - next.counted()), filledNanos, safeNanos, next.ledgers());
    }

    /**
     * Returns how many tokens a host gets now: its need, but no more than its share. Each demanding
     * host has a claim to an equal part of what the rate brought since its last grant, and to an
     * equal part of what the level holds beyond all claims. The claims keep demanding hosts
     * together at the full rate however seldom they report.
     */
    long grantable(RegisteredHost host, TokenDemand demand, RateLimit rate, long nowNanos) {
        TokenLedger ledger = ledgers.get(Process.of(host));
        if (ledger == null || level < 1) {
            return 0;
        }
        List<TokenLedger> others = others(host, nowNanos);
        double part = rate.perSecond() / (others.size() + 1);
        double own = accrued(ledger, part, nowNanos);
        double all =
                own
                        + others.stream()
                                .mapToDouble(o -> Math.min(o.unmet(), accrued(o, part, nowNanos)))
                                .sum();
        double share = level >= all ? own + (level - all) / (others.size() + 1) : level * own / all;
        long need = Math.max(0, demand.wanted() - ledger.held(nowNanos));
        return Math.min(need, (long) Math.max(1, share));
    }

    private List<TokenLedger> others(RegisteredHost host, long nowNanos) {
        return ledgers.entrySet().stream()
                .filter(e -> !e.getKey().equals(Process.of(host)))
                .map(Map.Entry::getValue)
                .filter(l -> l.isDemanding(nowNanos))
                .toList();
    }

    private static double accrued(TokenLedger ledger, double perSecond, long nowNanos) {
        long claim = Math.min(nowNanos - ledger.servedNanos(), TokenLedger.MAX_CLAIM_NANOS);
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
            return withLedger(host, ledger.withUnmet(unmet));
        }
        double part = rate.perSecond() / (others(host, host.reportNanos()).size() + 1);
        double nanos =
                Math.min(
                        tokens / part * Duration.ofSeconds(1).toNanos(),
                        TokenLedger.MAX_CLAIM_NANOS);
        OutstandingGrant grant =
                new OutstandingGrant(
                        id, tokens, tokens, host.sequence(), host.reportNanos(), false);
        return new TokenBucket(level - tokens, filledNanos, safeNanos, ledgers)
                .withLedger(host, ledger.withGrant(grant, unmet, (long) nanos));
    }

    private TokenBucket withLedger(RegisteredHost host, TokenLedger ledger) {
        Map<Process, TokenLedger> next = new HashMap<>(ledgers);
        next.put(Process.of(host), ledger);
        return new TokenBucket(level, filledNanos, safeNanos, next);
    }
}
