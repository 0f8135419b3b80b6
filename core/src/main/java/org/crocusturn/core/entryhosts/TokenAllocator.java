package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Workspace;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Allocates the rate tokens of all workspaces to entry hosts. Immutable.
 *
 * <p>Guarantee: in every time window, hosts spend at most rate x window + burst tokens of a
 * workspace. The sum of tokens that can be spent, granted or credited never exceeds the burst. A
 * grant is deducted from the level immediately, reported spending is deducted from grants, and
 * unspent tokens are credited only by a report that was sent after they became void.
 *
 * <p>A new leader does not know the grants of earlier leaders. Every leader therefore withholds a
 * reserve from its grants: {@link #RESERVE_SECONDS} of the rate, or half of the burst if that is
 * less. Until earlier grants are void, at most 1,020 ms after the start of its leadership, a new
 * leader grants from buckets that start empty and hold at most the reserve, also if they are only
 * looked at later. A change of the leader thus neither blocks a workspace nor violates the
 * guarantee.
 *
 * <p>Only processes that held leases at the start of the leadership can spend earlier grants. Once
 * each of them has reported its tokens or has ended, the leader counts these tokens as its own
 * grants and stops waiting. Otherwise a workspace would be limited to the reserve for a second.
 *
 * <p>A report costs O(its demands x (log workspaces + demanding hosts of the workspace)), of which
 * demands that change nothing cost O(log workspaces). A tick costs nothing. Buckets of removed
 * workspaces are kept until the leader changes.
 *
 * @param buckets buckets of the workspaces for which tokens were demanded
 * @param rates rate limits by workspace
 * @param unconfirmed grants by host that the host has not confirmed; they are sent again
 * @param startNanos time at which buckets start to fill
 * @param earlierGrantsVoidNanos time at which the grants of earlier leaders are void or known
 * @param lastGrantId id of the latest grant
 * @param unreportedHolders processes by host that may hold earlier grants and have not reported
 *     their tokens
 */
public record TokenAllocator(
        PMap<WorkspaceId, TokenBucket> buckets,
        Map<WorkspaceId, RateLimit> rates,
        PMap<HostId, PVector<SentGrant>> unconfirmed,
        long startNanos,
        long earlierGrantsVoidNanos,
        long lastGrantId,
        PMap<HostId, PSet<InheritedHolder>> unreportedHolders) {
    /** Reserve that each leader withholds for its successor, in seconds of the rate. */
    private static final double RESERVE_SECONDS = 0.05;

    /** Minimum remaining validity of a grant that is sent again. */
    private static final long MIN_RESEND_MILLIS = 20;

    /** Checks that no part is null and copies the rates. */
    public TokenAllocator {
        Objects.requireNonNull(buckets, "buckets");
        Objects.requireNonNull(unconfirmed, "unconfirmed");
        Objects.requireNonNull(unreportedHolders, "unreportedHolders");
        rates = Map.copyOf(rates);
    }

    /** A process that held a lease at the start of the leadership. */
    record InheritedHolder(long incarnation, String linkAddress) {
        /** Returns whether the process has ended or now reports the tokens that it holds. */
        private boolean isResolved(RegisteredHost host, boolean reportsHoldings) {
            return incarnation == host.incarnation()
                    ? reportsHoldings
                    : host.hasReplaced(incarnation, linkAddress);
        }
    }

    /** A grant that was sent to a process. */
    record SentGrant(
            WorkspaceId workspace,
            long incarnation,
            long id,
            long tokens,
            long sequence,
            long reportNanos) {
        private long remainingMillis(long latestReportNanos) {
            return LeaseTimes.GRANT_MILLIS
                    - Duration.ofNanos(latestReportNanos - reportNanos).toMillis()
                    - 1;
        }

        private boolean isResendable(RegisteredHost host) {
            return incarnation == host.incarnation()
                    && sequence > host.answeredSequence()
                    && remainingMillis(host.reportNanos()) >= MIN_RESEND_MILLIS;
        }
    }

    /**
     * Creates the allocator of a new leader.
     *
     * @param configuration current configuration
     * @param holders processes that hold leases
     * @param nowNanos start of the leadership
     */
    public static TokenAllocator of(
            Configuration configuration, Stream<Leaseholder> holders, long nowNanos) {
        Map<HostId, PSet<InheritedHolder>> unreportedHolders =
                holders.collect(
                        Collectors.groupingBy(
                                Leaseholder::host,
                                Collectors.mapping(
                                        h -> new InheritedHolder(h.incarnation(), h.linkAddress()),
                                        Collectors.collectingAndThen(
                                                Collectors.toSet(), HashTreePSet::from))));
        return new TokenAllocator(
                HashTreePMap.empty(),
                ratesOf(configuration),
                HashTreePMap.empty(),
                nowNanos,
                unreportedHolders.isEmpty() ? nowNanos : nowNanos + LeaseTimes.EXPIRY_NANOS,
                0,
                HashTreePMap.from(unreportedHolders));
    }

    static TokenAllocator startingAt(Configuration configuration, long startNanos) {
        return new TokenAllocator(
                HashTreePMap.empty(),
                ratesOf(configuration),
                HashTreePMap.empty(),
                startNanos,
                startNanos,
                0,
                HashTreePMap.empty());
    }

    /** Returns the grants to send to a host in the answer to its latest report. */
    public List<TokenGrant> grantsFor(RegisteredHost host) {
        return unconfirmed.getOrDefault(host.id(), TreePVector.empty()).stream()
                .filter(g -> g.isResendable(host))
                .map(
                        g ->
                                new TokenGrant(
                                        g.workspace(),
                                        g.id(),
                                        g.tokens(),
                                        g.remainingMillis(host.reportNanos())))
                .toList();
    }

    /** Returns the allocator with the rates of another configuration. */
    public TokenAllocator with(Configuration configuration) {
        return new TokenAllocator(
                buckets,
                ratesOf(configuration),
                unconfirmed,
                startNanos,
                earlierGrantsVoidNanos,
                lastGrantId,
                unreportedHolders);
    }

    /**
     * Returns the allocator after the latest report of a host, with new grants. A report must be
     * passed only once.
     *
     * @param reportsHoldings whether the demands state all tokens that the process holds from
     *     earlier leaders
     */
    public TokenAllocator with(
            RegisteredHost host,
            List<TokenDemand> demands,
            boolean reportsHoldings,
            long nowNanos) {
        boolean adoptsHoldings =
                reportsHoldings
                        && host.answerConfirmed()
                        && demands.stream().noneMatch(d -> hasLedger(host, d.workspace()));
        TokenAllocator next = withConfirmed(host).withHolderReport(host, adoptsHoldings, nowNanos);
        for (TokenDemand demand : demands) {
            RateLimit rate = rates.get(demand.workspace());
            next = rate == null ? next : next.with(host, demand, rate, adoptsHoldings, nowNanos);
        }
        return next;
    }

    private boolean hasLedger(RegisteredHost host, WorkspaceId workspace) {
        TokenBucket bucket = buckets.get(workspace);
        return bucket != null && bucket.ledgers().containsKey(TokenBucket.Process.of(host));
    }

    private TokenAllocator withHolderReport(
            RegisteredHost host, boolean adoptsHoldings, long nowNanos) {
        PSet<InheritedHolder> known = unreportedHolders.get(host.id());
        if (known == null) {
            return this;
        }
        PSet<InheritedHolder> remaining =
                known.minusAll(
                        known.stream().filter(p -> p.isResolved(host, adoptsHoldings)).toList());
        PMap<HostId, PSet<InheritedHolder>> unreported =
                remaining.isEmpty()
                        ? unreportedHolders.minus(host.id())
                        : unreportedHolders.plus(host.id(), remaining);
        boolean allKnown = unreported.isEmpty() && nowNanos - earlierGrantsVoidNanos < 0;
        return new TokenAllocator(
                buckets,
                rates,
                unconfirmed,
                startNanos,
                allKnown ? nowNanos : earlierGrantsVoidNanos,
                lastGrantId,
                unreported);
    }

    private TokenAllocator with(
            RegisteredHost host,
            TokenDemand demand,
            RateLimit rate,
            boolean adoptsHoldings,
            long nowNanos) {
        TokenBucket known = buckets.get(demand.workspace());
        boolean settled = known != null && known.isSettled(host, demand);
        if (nowNanos - startNanos < 0 || settled) {
            return this;
        }
        TokenBucket bucket =
                refilled(known == null ? TokenBucket.of(startNanos) : known, rate, nowNanos)
                        .withDemand(host, demand, adoptsHoldings, grantLimit(rate, nowNanos));
        long tokens = bucket.grantable(host, demand, rate, nowNanos);
        long id = tokens > 0 ? lastGrantId + 1 : lastGrantId;
        PMap<HostId, PVector<SentGrant>> sent =
                tokens > 0
                        ? unconfirmed.plus(
                                host.id(),
                                unconfirmed
                                        .getOrDefault(host.id(), TreePVector.empty())
                                        .plus(
                                                new SentGrant(
                                                        demand.workspace(),
                                                        host.incarnation(),
                                                        id,
                                                        tokens,
                                                        host.sequence(),
                                                        host.reportNanos())))
                        : unconfirmed;
        return new TokenAllocator(
                buckets.plus(demand.workspace(), bucket.withGrant(host, demand, rate, id, tokens)),
                rates,
                sent,
                startNanos,
                earlierGrantsVoidNanos,
                id,
                unreportedHolders);
    }

    /**
     * Returns a bucket refilled up to a time. Tokens that were added before the earlier grants were
     * void or known are limited to the reserve, because those grants were spent meanwhile.
     */
    private TokenBucket refilled(TokenBucket bucket, RateLimit rate, long nowNanos) {
        boolean limited =
                earlierGrantsVoidNanos - bucket.filledNanos() > 0
                        && nowNanos - earlierGrantsVoidNanos >= 0;
        TokenBucket earlier =
                limited ? bucket.refilled(rate, reserve(rate), earlierGrantsVoidNanos) : bucket;
        return earlier.refilled(rate, grantLimit(rate, nowNanos), nowNanos);
    }

    /** Returns the limit on the sum of the level and the unsettled grants of a workspace. */
    private double grantLimit(RateLimit rate, long nowNanos) {
        long reserve = reserve(rate);
        return nowNanos - earlierGrantsVoidNanos >= 0 ? rate.burst() - reserve : reserve;
    }

    /** At least one token of the burst is granted: with less, the workspace would get none. */
    private static long reserve(RateLimit rate) {
        long reserve = Math.round(Math.min(rate.burst() / 2.0, rate.perSecond() * RESERVE_SECONDS));
        return Math.min(reserve, rate.burst() - 1);
    }

    private TokenAllocator withConfirmed(RegisteredHost host) {
        PVector<SentGrant> sent = unconfirmed.get(host.id());
        if (sent == null) {
            return this;
        }
        List<SentGrant> resendable = sent.stream().filter(g -> g.isResendable(host)).toList();
        return new TokenAllocator(
                buckets,
                rates,
                resendable.isEmpty()
                        ? unconfirmed.minus(host.id())
                        : unconfirmed.plus(host.id(), TreePVector.from(resendable)),
                startNanos,
                earlierGrantsVoidNanos,
                lastGrantId,
                unreportedHolders);
    }

    private static Map<WorkspaceId, RateLimit> ratesOf(Configuration configuration) {
        return configuration.workspaces().stream()
                .collect(Collectors.toMap(Workspace::id, Workspace::rate));
    }
}
