package org.crocusturn.core.entryhosts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.crocusturn.core.Decision;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.LeaseGrant;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.endpoints.EndpointCommandResult;
import org.crocusturn.core.endpoints.FailoverAction;
import org.crocusturn.core.endpoints.FailoverDecisions;
import org.crocusturn.core.endpoints.FailoverState;
import org.crocusturn.core.endpoints.FailoverView;
import org.crocusturn.core.endpoints.FailureDetector;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.PromotionMode;

/**
 * Collects the next state and the actions of one step of {@link ControlLeader}. Mutable and used
 * only within that step; its results are immutable.
 */
final class LeaderStep {
    final long mNowNanos;
    final PlacementPolicy mPlacement;
    final FailureDetector mDetector;
    LeaderState mState;
    private final List<LeaderAction> mActions = new ArrayList<>();
    private final Set<HostId> mUpdateRecipients = new TreeSet<>();
    private final Map<HostId, Integer> mNewLeases = new HashMap<>();
    private List<RegisteredHost> mEligible;

    LeaderStep(
            LeaderState state, long nowNanos, PlacementPolicy placement, FailureDetector detector) {
        mState = state;
        mNowNanos = nowNanos;
        mPlacement = placement;
        mDetector = detector;
    }

    void propose(ControlCommand command) {
        mActions.add(new LeaderAction.Propose(command));
    }

    void log(String text) {
        mActions.add(new LeaderAction.Log(text));
    }

    /** Requests that a host is sent an update at the end of the step. */
    void requestUpdate(HostId host) {
        mUpdateRecipients.add(host);
    }

    /** Counts a lease that this step assigns to a host. */
    void countAssignment(HostId host) {
        mNewLeases.merge(host, 1, Integer::sum);
    }

    /** Returns the number of leases that a host holds or is about to receive; costs O(1). */
    int leaseCount(HostId host) {
        return mState.leases().groupsOf(host).size()
                + mState.leases().moveCount(host)
                + mNewLeases.getOrDefault(host, 0);
    }

    /** Returns the live hosts that may receive leases; costs O(hosts) once per step. */
    List<RegisteredHost> eligible() {
        if (mEligible == null) {
            mEligible =
                    mState.registry().live(mNowNanos).stream()
                            .filter(h -> !h.leaving())
                            .filter(h -> !mState.control().drained().contains(h.dataCentre()))
                            .toList();
        }
        return mEligible;
    }

    /** Advances the failover of a group; costs O(copies). */
    void advanceFailover(GroupId id, Optional<EndpointCommandResult> result) {
        GroupRecord record = mState.control().groups().get(id);
        Optional<FailoverState> known = mState.failovers().group(id);
        Optional<LeaseState> lease = mState.leases().lease(id);
        if (record == null || known.isEmpty() || lease.isEmpty() || isPromotedByHolder(id)) {
            return;
        }
        long previousTerm = acknowledgeTerm(record);
        FailoverView view = failoverView(record, lease.get());
        Decision<FailoverState, FailoverAction> decision =
                result.map(r -> FailoverDecisions.commandFinished(known.get(), r, view, mNowNanos))
                        .orElseGet(() -> FailoverDecisions.step(known.get(), view, mNowNanos));
        if (!decision.state().equals(known.get())) {
            mState = mState.withFailovers(mState.failovers().with(decision.state()));
        }
        decision.actions().stream().map(LeaderStep::toLeaderAction).forEach(mActions::add);
        if (previousTerm != acknowledgeTerm(record)) {
            lease.get().holder().ifPresent(h -> requestUpdate(h.host()));
        }
    }

    private boolean isPromotedByHolder(GroupId id) {
        return mState.control()
                .configuration()
                .service(id.service())
                .filter(s -> s.promotion() == PromotionMode.LEASEHOLDER)
                .isPresent();
    }

    private FailoverView failoverView(GroupRecord record, LeaseState lease) {
        boolean dropped =
                record.primary().isPresent()
                        && lease.holder().isPresent()
                        && lease.droppedTerm() >= record.term();
        return new FailoverView(
                record,
                mState.failovers().declaredInstances().getOrDefault(record.id().service(), 1),
                mState.failovers()
                        .copyHealth(
                                record.id(),
                                mState.control(),
                                mDetector,
                                mState.registry().monitoredSinceNanos(),
                                mNowNanos),
                lease.cannotAcknowledge(mNowNanos),
                dropped);
    }

    private static LeaderAction toLeaderAction(FailoverAction action) {
        if (action instanceof FailoverAction.Propose propose) {
            return new LeaderAction.Propose(propose.command());
        }
        if (action instanceof FailoverAction.SendCommand send) {
            return new LeaderAction.SendCommand(send.command());
        }
        return new LeaderAction.Log(((FailoverAction.Log) action).text());
    }

    private long acknowledgeTerm(GroupRecord record) {
        boolean allowed =
                record.primary().isPresent()
                        && mState.failovers()
                                .group(record.id())
                                .filter(f -> f.phase().acknowledges())
                                .isPresent();
        return allowed ? record.term() : 0;
    }

    /**
     * Completes the step. Sends updates to all live hosts if a push is due, otherwise only to the
     * hosts for which one was requested.
     */
    Decision<LeaderState, LeaderAction> finish() {
        boolean push =
                mState.pushDue()
                        && mNowNanos - mState.lastPushNanos() >= ControlLeader.PUSH_INTERVAL_NANOS;
        if (push) {
            mState.registry().live(mNowNanos).forEach(h -> requestUpdate(h.id()));
            mState = mState.withPushed(mNowNanos);
        }
        mUpdateRecipients.stream()
                .map(h -> mState.registry().host(h))
                .flatMap(Optional::stream)
                .filter(h -> mState.registry().isLive(h, mNowNanos))
                .forEach(this::sendUpdate);
        return new Decision<>(mState, mActions);
    }

    // Costs O(groups of the host + its unconfirmed grants + missing commands).
    private void sendUpdate(RegisteredHost host) {
        List<LeaseGrant> grants = new ArrayList<>();
        mState.leases().groupsOf(host.id()).stream()
                .sorted(Comparator.naturalOrder())
                .map(id -> mState.leases().lease(id).orElseThrow())
                .filter(lease -> lease.isRenewable(host.incarnation()))
                .filter(lease -> mState.control().isConfigured(lease.group()))
                .forEach(lease -> grants.add(grant(host, lease)));
        long version = mState.control().version();
        SentChanges sent = mState.sentChanges();
        Optional<Long> pending = sent.pendingVersion(host, mNowNanos);
        StateUpdate missing = mState.history().since(pending.orElse(host.knownVersion()));
        boolean changes = !(missing instanceof StateUpdate.Unchanged);
        if (changes) {
            if (pending.isEmpty() && sent.hasUnconfirmed(host)) {
                log(
                        "entryhosts: changes after version "
                                + host.knownVersion()
                                + " are sent again to "
                                + host.id()
                                + ", which has not confirmed them in time.");
            }
            mState = mState.withSentChanges(sent.with(host, version, mNowNanos));
        }
        boolean confirms = changes || pending.isEmpty();
        // While changes are on their way, an update without any must not make an older state count
        // as fresh.
        mActions.add(
                new LeaderAction.SendUpdate(
                        host.id(),
                        new ControlUpdate(
                                mState.term(),
                                host.sequence(),
                                version,
                                missing,
                                confirms ? LeaseTimes.FRESHNESS_MILLIS : 0,
                                grants,
                                mState.tokens().grantsFor(host))));
    }

    private LeaseGrant grant(RegisteredHost host, LeaseState lease) {
        long term =
                Optional.ofNullable(mState.control().groups().get(lease.group()))
                        .map(this::acknowledgeTerm)
                        .orElse(0L);
        mState = mState.withLease(lease.withGrant(host.reportNanos(), term));
        return new LeaseGrant(
                lease.group(), lease.epoch(), LeaseTimes.LEASE_MILLIS, term, lease.moving());
    }
}
