package org.crocusturn.core.endpoints;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;

/**
 * An entry host's view of one group, derived from its control view.
 *
 * @param group the group
 * @param epoch epoch of the lease that this host holds; 0 if it holds none
 * @param leaseUntilNanos monotonic time at which the lease expires
 * @param acknowledgeTerm term for which writes may be acknowledged while the lease is valid
 * @param finishTerm last term that the leader granted for acknowledgements
 * @param finishUntilNanos monotonic time until which writes of that term that are already running
 *     may be acknowledged
 * @param handoverRequested whether the leader asked for a handover of the lease
 * @param term current term of the group
 * @param primary primary of the term; empty during a failover
 * @param startIndex log index at which the term began
 * @param acknowledge when writes are acknowledged
 * @param replicaReadsWithoutToken whether a read without a session token may go to a replica
 * @param copies announced copies of the group
 * @param rates rate limits of the workspaces
 */
public record GroupView(
        GroupId group,
        long epoch,
        long leaseUntilNanos,
        long acknowledgeTerm,
        long finishTerm,
        long finishUntilNanos,
        boolean handoverRequested,
        long term,
        Optional<EndpointId> primary,
        long startIndex,
        AcknowledgeMode acknowledge,
        boolean replicaReadsWithoutToken,
        Map<EndpointId, Copy> copies,
        Map<WorkspaceId, RateLimit> rates) {
    /** Takes defensive copies of the maps. */
    public GroupView {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(primary, "primary");
        Objects.requireNonNull(acknowledge, "acknowledge");
        copies = Map.copyOf(copies);
        rates = Map.copyOf(rates);
    }

    /**
     * An announced copy.
     *
     * @param limits limits on statements and connections
     * @param inService whether the endpoint may receive new requests
     */
    public record Copy(CopyLimits limits, boolean inService) {}

    /** Creates the view of a group without any information. */
    public static GroupView unknown(GroupId group) {
        return of(ControlView.empty((state, command) -> state), group);
    }

    /** Creates the view of a group from the control view of the host. */
    public static GroupView of(ControlView view, GroupId group) {
        ControlState state = view.state();
        GroupRecord record = state.groups().getOrDefault(group, GroupRecord.of(group));
        Optional<Service> service = state.configuration().service(group.service());
        return new GroupView(
                        group,
                        0,
                        0,
                        0,
                        0,
                        0,
                        false,
                        record.term(),
                        record.primary(),
                        record.startIndex(),
                        service.map(Service::acknowledge).orElse(AcknowledgeMode.DURABLE),
                        service.map(Service::replicaReadsWithoutToken).orElse(false),
                        copies(state, group, service),
                        rates(state))
                .withLease(view);
    }

    private static Map<EndpointId, Copy> copies(
            ControlState state, GroupId group, Optional<Service> service) {
        Map<EndpointId, Copy> copies = new HashMap<>();
        for (EndpointRecord endpoint : state.endpoints().values()) {
            if (endpoint.service().equals(group.service())) {
                endpoint.database(group.database())
                        .ifPresent(
                                d ->
                                        copies.put(
                                                endpoint.id(),
                                                new Copy(
                                                        limits(d, service),
                                                        state.isInService(endpoint))));
            }
        }
        return copies;
    }

    private static CopyLimits limits(DatabaseRecord database, Optional<Service> service) {
        int slots = service.map(Service::slots).orElse(database.slots());
        int connections = service.map(Service::connections).orElse(database.connections());
        return CopyLimits.ofDatabase(
                Math.max(1, Math.min(slots, database.slots())),
                Math.max(1, Math.min(connections, database.connections())));
    }

    private static Map<WorkspaceId, RateLimit> rates(ControlState state) {
        Map<WorkspaceId, RateLimit> rates = new HashMap<>();
        for (Workspace workspace : state.configuration().workspaces()) {
            rates.put(workspace.id(), workspace.rate());
        }
        return rates;
    }

    /**
     * Returns this view with the lease of a later update that did not change the replicated state.
     * Unlike {@link #of}, it does not iterate over all endpoints and workspaces.
     */
    public GroupView withLease(ControlView view) {
        Optional<ControlView.GrantedLease> lease = view.lease(group);
        return new GroupView(
                group,
                lease.map(ControlView.GrantedLease::epoch).orElse(0L),
                lease.map(ControlView.GrantedLease::expiresNanos).orElse(0L),
                lease.map(ControlView.GrantedLease::acknowledgeTerm).orElse(0L),
                lease.map(ControlView.GrantedLease::latestAcknowledgeTerm).orElse(0L),
                lease.map(ControlView.GrantedLease::latestAcknowledgeUntilNanos).orElse(0L),
                lease.map(ControlView.GrantedLease::move).orElse(false),
                term,
                primary,
                startIndex,
                acknowledge,
                replicaReadsWithoutToken,
                copies,
                rates);
    }

    /** Returns whether the lease is valid at the given time. */
    public boolean leaseValid(long nowNanos) {
        return epoch > 0 && leaseUntilNanos - nowNanos > 0;
    }

    /**
     * Returns the term whose running statements may continue and be acknowledged; 0 if there is
     * none.
     *
     * <p>While the leader holds writes back for a planned switchover, it grants no term, but the
     * group is still in the old one: running statements may complete within the last grant.
     */
    public long finishableTerm(long nowNanos) {
        if (acknowledgeTerm > 0) {
            return acknowledgeTerm;
        }
        boolean writesHeld = primary.isPresent() && finishTerm == term;
        return writesHeld && finishUntilNanos - nowNanos > 0 ? finishTerm : 0;
    }

    /** Returns the primary if new statements may start there. */
    public Optional<EndpointId> usablePrimary() {
        return term > 0 && acknowledgeTerm == term ? primary : Optional.empty();
    }
}
