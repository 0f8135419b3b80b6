package org.crocusturn.core.operators;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.WorkspaceId;

/**
 * Is the whole content of an operators' file; it is applied as a whole.
 *
 * @param version version of this configuration; the one it follows is {@code version - 1}
 * @param dataCentres data centres of the deployment
 * @param workspaces workspaces with their rates
 * @param services database services
 * @param openRoutes paths that need no key, besides the health routes
 * @param dataCentreStates states that the file sets; a data centre that is missing here keeps its
 *     state
 * @param keys keys that the file adds; those in force already stay, and those that are missing here
 *     are not withdrawn
 */
public record Configuration(
        long version,
        List<DataCentreId> dataCentres,
        List<Workspace> workspaces,
        List<Service> services,
        List<String> openRoutes,
        Map<DataCentreId, DataCentreState> dataCentreStates,
        List<KeyRecord> keys) {
    /** The configuration before the first is applied. */
    public static final Configuration EMPTY =
            new Configuration(0, List.of(), List.of(), List.of(), List.of());

    /** Copies the collections. */
    public Configuration {
        dataCentres = List.copyOf(dataCentres);
        workspaces = List.copyOf(workspaces);
        services = List.copyOf(services);
        openRoutes = List.copyOf(openRoutes);
        dataCentreStates = Map.copyOf(dataCentreStates);
        keys = List.copyOf(keys);
    }

    /** Creates a configuration that sets no states of data centres and adds no keys. */
    public Configuration(
            long version,
            List<DataCentreId> dataCentres,
            List<Workspace> workspaces,
            List<Service> services,
            List<String> openRoutes) {
        this(version, dataCentres, workspaces, services, openRoutes, Map.of(), List.of());
    }

    /** Returns the workspace of an id, if it is declared. */
    public Optional<Workspace> workspace(WorkspaceId id) {
        return workspaces.stream().filter(w -> w.id().equals(id)).findFirst();
    }

    /** Returns the service of a name, if it is declared. */
    public Optional<Service> service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }
}
