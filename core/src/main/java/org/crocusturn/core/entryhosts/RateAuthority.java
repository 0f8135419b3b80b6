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
 * leader grants from buckets that start empty and hold at most the reserve. A change of the leader
 * thus neither blocks a workspace nor violates the guarantee.
 *
 * <p>Only processes that held leases at the start of the leadership can spend earlier grants. Once
 * each of them has reported its tokens or has ended, the leader counts these tokens as its own
 * grants and stops waiting. Otherwise a workspace would be limited to the reserve for a second.
 *
 * <p>A report costs O(its demands x (log workspaces + demanding hosts of the workspace)). A tick
 * costs nothing. Buckets of removed workspaces are kept until the leader changes.
 *
 * @param buckets buckets of the workspaces for which tokens were demanded
 * @param rates rate limits by workspace
 * @param unconfirmed grants by host that the host has not confirmed; they are sent again
 * @param startNanos time at which buckets start to fill
 * @param settledNanos time at which the grants of earlier leaders are void
 * @param lastId id of the latest grant
 * @param unheard processes by host that may hold earlier grants and have not reported their tokens
 */
public record RateAuthority(
        PMap<WorkspaceId, TokenBucket> buckets,
        Map<WorkspaceId, RateLimit> rates,
        PMap<HostId, PVector<SentGrant>> unconfirmed,
        long startNanos,
        long settledNanos,
        long lastId,
        PMap<HostId, PSet<Inherited>> unheard) {
    /** Reserve of a new leader until earlier grants are void, in seconds of the rate. */
    private static final double RESERVE_SECONDS = 0.05;

    /** Minimum remaining validity of a grant that is sent again. */
    private static final long MIN_SENT_MILLIS = 20;

    /** Checks that no part is null and copies the rates. */
    public RateAuthority {
        Objects.requireNonNull(buckets, "buckets");
        Objects.requireNonNull(unconfirmed, "unconfirmed");
        Objects.requireNonNull(unheard, "unheard");
        rates = Map.copyOf(rates);
    }

    /** A process that held a lease at the start of the leadership. */
    record Inherited(long incarnation, String linkAddress) {
        /** Returns whether the process has ended or now reports the tokens that it holds. */
        private boolean isOver(RegisteredHost host, boolean tells) {
            return incarnation == host.incarnation()
                    ? tells
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
        private long restMillis(long reportNanosNow) {
            return LeaseTimes.GRANT_MILLIS
                    - Duration.ofNanos(reportNanosNow - reportNanos).toMillis()
                    - 1;
        }

        private boolean isUseful(RegisteredHost host) {
            return incarnation == host.incarnation()
                    && sequence > host.answered()
                    && restMillis(host.reportNanos()) >= MIN_SENT_MILLIS;
        }
    }

    /**
     * Creates the allocator of a new leader.
     *
     * @param configuration current configuration
     * @param holders processes that hold leases
     * @param nowNanos start of the leadership
     */
    public static RateAuthority of(
            Configuration configuration, Stream<Leaseholder> holders, long nowNanos) {
        Map<HostId, PSet<Inherited>> unheard =
                holders.collect(
                        Collectors.groupingBy(
                                Leaseholder::host,
                                Collectors.mapping(
                                        h -> new Inherited(h.incarnation(), h.linkAddress()),
                                        Collectors.collectingAndThen(
                                                Collectors.toSet(), HashTreePSet::from))));
        return new RateAuthority(
                HashTreePMap.empty(),
                ratesOf(configuration),
                HashTreePMap.empty(),
                nowNanos,
                nowNanos + LeaseTimes.EXPIRY_NANOS,
                0,
                HashTreePMap.from(unheard));
    }

    static RateAuthority startingAt(Configuration configuration, long startNanos) {
        return new RateAuthority(
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
                .filter(g -> g.isUseful(host))
                .map(
                        g ->
                                new TokenGrant(
                                        g.workspace(),
                                        g.id(),
                                        g.tokens(),
                                        g.restMillis(host.reportNanos())))
                .toList();
    }

    /** Returns the allocator with the rates of another configuration. */
    public RateAuthority with(Configuration configuration) {
        return new RateAuthority(
                buckets,
                ratesOf(configuration),
                unconfirmed,
                startNanos,
                settledNanos,
                lastId,
                unheard);
    }

    /**
     * Returns the allocator after the latest report of a host, with new grants. A report must be
     * passed only once.
     *
     * @param tellsHoldings whether the demands state all tokens that the process holds from earlier
     *     leaders
     */
    public RateAuthority with(
            RegisteredHost host, List<TokenDemand> demands, boolean tellsHoldings, long nowNanos) {
        boolean adopts =
                tellsHoldings
                        && host.proved()
                        && demands.stream().noneMatch(d -> hasLedger(host, d.workspace()));
        RateAuthority next = withConfirmed(host).withHeard(host, adopts);
        for (TokenDemand demand : demands) {
            RateLimit rate = rates.get(demand.workspace());
            next = rate == null ? next : next.with(host, demand, rate, adopts, nowNanos);
        }
        return next;
    }

    private boolean hasLedger(RegisteredHost host, WorkspaceId workspace) {
        TokenBucket bucket = buckets.get(workspace);
        return bucket != null && bucket.ledgers().containsKey(TokenBucket.Process.of(host));
    }

    private RateAuthority withHeard(RegisteredHost host, boolean adopts) {
        PSet<Inherited> known = unheard.get(host.id());
        if (known == null) {
            return this;
        }
        PSet<Inherited> left =
                known.minusAll(known.stream().filter(p -> p.isOver(host, adopts)).toList());
        return new RateAuthority(
                buckets,
                rates,
                unconfirmed,
                startNanos,
                settledNanos,
                lastId,
                left.isEmpty() ? unheard.minus(host.id()) : unheard.plus(host.id(), left));
    }

    private RateAuthority with(
            RegisteredHost host,
            TokenDemand demand,
            RateLimit rate,
            boolean adopts,
            long nowNanos) {
        if (nowNanos - startNanos < 0) {
            return this;
        }
        TokenBucket bucket =
                buckets.getOrDefault(demand.workspace(), TokenBucket.of(startNanos))
                        .at(rate, limit(rate, nowNanos), nowNanos)
                        .withDemand(host, demand, adopts, limit(rate, nowNanos));
        long tokens = bucket.grantable(host, demand, rate, nowNanos);
        long id = tokens > 0 ? lastId + 1 : lastId;
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
        return new RateAuthority(
                buckets.plus(demand.workspace(), bucket.withGrant(host, demand, rate, id, tokens)),
                rates,
                sent,
                startNanos,
                settledNanos,
                id,
                unheard);
    }

    /** Returns the limit on the sum of the level and the unsettled grants of a workspace. */
    private double limit(RateLimit rate, long nowNanos) {
        long reserve = Math.round(Math.min(rate.burst() / 2.0, rate.perSecond() * RESERVE_SECONDS));
        boolean settled = unheard.isEmpty() || nowNanos - settledNanos >= 0;
        return settled ? rate.burst() - reserve : reserve;
    }

    private RateAuthority withConfirmed(RegisteredHost host) {
        PVector<SentGrant> sent = unconfirmed.get(host.id());
        if (sent == null) {
            return this;
        }
        List<SentGrant> useful = sent.stream().filter(g -> g.isUseful(host)).toList();
        return new RateAuthority(
                buckets,
                rates,
                useful.isEmpty()
                        ? unconfirmed.minus(host.id())
                        : unconfirmed.plus(host.id(), TreePVector.from(useful)),
                startNanos,
                settledNanos,
                lastId,
                unheard);
    }

    private static Map<WorkspaceId, RateLimit> ratesOf(Configuration configuration) {
        return configuration.workspaces().stream()
                .collect(Collectors.toMap(Workspace::id, Workspace::rate));
    }
}
