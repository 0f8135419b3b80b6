package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;

/**
 * Part of the replicated state that the leaseholder of a group uses.
 *
 * @param endpoints endpoints of the service
 * @param drained data centres that must not get new statements
 * @param connections maximum number of connections to one copy
 * @param idleTransaction idle time after which a transaction is rolled back
 * @param dataCentre data centre of the leaseholder
 * @param workspaces workspaces that may send statements
 * @param durable whether a commit is acknowledged only after a replica has received it
 * @param copies what the replicated state says of the copies
 */
record GroupSettings(
        List<EndpointRecord> endpoints,
        Set<DataCentreId> drained,
        int connections,
        Duration idleTransaction,
        DataCentreId dataCentre,
        List<WorkspaceId> workspaces,
        boolean durable,
        Copies copies) {
    GroupSettings {
        endpoints = List.copyOf(endpoints);
        drained = Set.copyOf(drained);
        workspaces = List.copyOf(workspaces);
        Objects.requireNonNull(idleTransaction, "idleTransaction");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(copies, "copies");
    }

    /**
     * Returns the settings of a group.
     *
     * @param state replicated state
     * @param id the group
     * @param dataCentre data centre of the leaseholder
     */
    static GroupSettings of(ControlState state, GroupId id, DataCentreId dataCentre) {
        Optional<Service> service = state.configuration().service(id.service());
        return new GroupSettings(
                state.endpoints().values().stream()
                        .filter(e -> e.service().equals(id.service()))
                        .toList(),
                state.drained(),
                service.map(Service::connections).orElse(1),
                state.configuration().sessionLimits().idleTransaction(),
                dataCentre,
                state.configuration().workspaces().stream().map(Workspace::id).toList(),
                service.filter(s -> s.acknowledge() == AcknowledgeMode.DURABLE).isPresent(),
                new Copies(
                        state.version(),
                        service.map(Service::instances).orElse(Integer.MAX_VALUE),
                        Optional.ofNullable(state.groups().get(id))
                                .filter(g -> g.coverage().isConfirmed())
                                .isPresent()));
    }

    /**
     * What the replicated state says of the copies of a group.
     *
     * @param version version of the state
     * @param expected number of copies that the service is expected to have
     * @param coverageConfirmed whether all acknowledged commits are known to be in the logs of two
     *     of the endpoints
     */
    record Copies(long version, int expected, boolean coverageConfirmed) {}
}
