package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Workspace;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Grants the rate tokens of all workspaces. Immutable.
 *
 * <p>Guarantee: in no time window do hosts spend more tokens of a workspace than rate x window +
 * burst. Tokens that can be spent, granted or credited never exceed the burst together: a grant
 * leaves the level at once, spending is taken from grants as it is reported, and unspent tokens are
 * credited only by a report that was certainly sent after they were void.
 *
 * <p>A new leader knows nothing of earlier grants. Each leader keeps {@link #RESERVE_SECONDS} of
 * the rate, or half of the burst if that is less, out of its grants; until the earlier grants are
 * void, 1,020 ms after it began to lead, a new leader grants from buckets that start empty and hold
 * no more than that reserve. So a change of the leader neither stops a workspace nor lets it exceed
 * the guarantee.
 *
 * <p>A report costs O(its demands x (log workspaces + demanding hosts of the workspace)). Nothing
 * happens at a tick. Buckets of removed workspaces are kept until the next leader.
 *
 * @param buckets bucket of each workspace that was ever demanded
 * @param rates rate of each workspace in force
 * @param unconfirmed grants by host that it has not confirmed; they are sent again
 * @param startNanos time at which buckets begin to fill
 * @param settledNanos time at which the grants of earlier leaders are void
 * @param lastId number of the last grant
 */
public record RateAuthority(
        PMap<WorkspaceId, TokenBucket> buckets,
        Map<WorkspaceId, RateLimit> rates,
        PMap<HostId, PVector<SentGrant>> unconfirmed,
        long startNanos,
        long settledNanos,
        long lastId) {
    /** Seconds of the rate that a new leader may have granted before earlier grants are void. */
    private static final double RESERVE_SECONDS = 0.05;

    /** A grant with less time left is not sent again. */
    private static final long MIN_SENT_MILLIS = 20;

    /** Checks that no part is null and copies the rates. */
    public RateAuthority {
        Objects.requireNonNull(buckets, "buckets");
        Objects.requireNonNull(unconfirmed, "unconfirmed");
        rates = Map.copyOf(rates);
    }

    /** Is a grant as it was sent to a process. */
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

    /** Creates the authority of a new leader. */
    public static RateAuthority of(Configuration configuration, long nowNanos) {
        return new RateAuthority(
                HashTreePMap.empty(),
                ratesOf(configuration),
                HashTreePMap.empty(),
                nowNanos,
                nowNanos + LeaseTimes.EXPIRY_NANOS,
                0);
    }

    static RateAuthority startingAt(Configuration configuration, long startNanos) {
        return new RateAuthority(
                HashTreePMap.empty(),
                ratesOf(configuration),
                HashTreePMap.empty(),
                startNanos,
                startNanos,
                0);
    }

    /** Returns the grants to send to a host with an answer to its latest report. */
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

    /** Returns the authority under another configuration. */
    public RateAuthority with(Configuration configuration) {
        return new RateAuthority(
                buckets, ratesOf(configuration), unconfirmed, startNanos, settledNanos, lastId);
    }

    /**
     * Returns the authority after the latest report of a host, with new grants. The report must not
     * be passed twice.
     */
    public RateAuthority with(RegisteredHost host, List<TokenDemand> demands, long nowNanos) {
        RateAuthority next = withConfirmed(host);
        for (TokenDemand demand : demands) {
            RateLimit rate = rates.get(demand.workspace());
            next = rate == null ? next : next.with(host, demand, rate, nowNanos);
        }
        return next;
    }

    private RateAuthority with(
            RegisteredHost host, TokenDemand demand, RateLimit rate, long nowNanos) {
        if (nowNanos - startNanos < 0) {
            return this;
        }
        TokenBucket bucket =
                buckets.getOrDefault(demand.workspace(), TokenBucket.of(startNanos))
                        .at(rate, limit(rate, nowNanos), nowNanos)
                        .withDemand(host, demand, limit(rate, nowNanos));
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
                id);
    }

    /** Returns the tokens that may be granted and unsettled together. */
    private double limit(RateLimit rate, long nowNanos) {
        long reserve = Math.round(Math.min(rate.burst() / 2.0, rate.perSecond() * RESERVE_SECONDS));
        return nowNanos - settledNanos < 0 ? reserve : rate.burst() - reserve;
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
                lastId);
    }

    private static Map<WorkspaceId, RateLimit> ratesOf(Configuration configuration) {
        return configuration.workspaces().stream()
                .collect(Collectors.toMap(Workspace::id, Workspace::rate));
    }
}
