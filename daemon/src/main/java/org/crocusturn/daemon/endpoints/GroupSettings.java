package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.EndpointRecord;

/**
 * Is what a leaseholder takes from the replicated state for one group.
 *
 * @param endpoints endpoints of the service
 * @param drained data centres that are out of service
 * @param connections connections that one copy accepts
 * @param idleTransaction time without a statement after which a transaction is ended
 * @param dataCentre where the leaseholder stands
 * @param workspaces workspaces that may send statements
 */
record GroupSettings(
        List<EndpointRecord> endpoints,
        Set<DataCentreId> drained,
        int connections,
        Duration idleTransaction,
        DataCentreId dataCentre,
        List<WorkspaceId> workspaces) {
    GroupSettings {
        endpoints = List.copyOf(endpoints);
        drained = Set.copyOf(drained);
        workspaces = List.copyOf(workspaces);
        Objects.requireNonNull(idleTransaction, "idleTransaction");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
