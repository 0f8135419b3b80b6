package org.crocusturn.core.operators;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.WorkspaceId;

/**
 * Is the whole content of an operators' file; it is applied as a whole.
 *
 * <p>Immutable. Creating one costs O(workspaces + services); a look-up costs O(1), because each
 * request of a caller makes several.
 */
public final class Configuration {
    /** The configuration before the first is applied. */
    public static final Configuration EMPTY =
            new Configuration(0, List.of(), List.of(), List.of(), List.of());

    private final long mVersion;
    private final List<DataCentreId> mDataCentres;
    private final List<Workspace> mWorkspaces;
    private final List<Service> mServices;
    private final List<String> mOpenRoutes;
    private final Map<DataCentreId, DataCentreState> mDataCentreStates;
    private final List<KeyRecord> mKeys;
    private final List<Route> mRoutes;
    private final SessionLimits mSessionLimits;
    private final String mDocument;
    private final Map<WorkspaceId, Workspace> mWorkspaceById;
    private final Map<String, Service> mServiceByName;
    private final Map<String, Route> mRouteByDatabase;

    /** Creates a configuration that sets no states of data centres and adds no keys. */
    public Configuration(
            long version,
            List<DataCentreId> dataCentres,
            List<Workspace> workspaces,
            List<Service> services,
            List<String> openRoutes) {
        this(version, dataCentres, workspaces, services, openRoutes, Map.of(), List.of());
    }

    /** Creates a configuration without routes of sessions. */
    public Configuration(
            long version,
            List<DataCentreId> dataCentres,
            List<Workspace> workspaces,
            List<Service> services,
            List<String> openRoutes,
            Map<DataCentreId, DataCentreState> dataCentreStates,
            List<KeyRecord> keys) {
        this(
                version,
                dataCentres,
                workspaces,
                services,
                openRoutes,
                dataCentreStates,
                keys,
                List.of(),
                SessionLimits.DEFAULT,
                "");
    }

    /**
     * Creates a configuration and copies the collections. Where an id or a name is declared twice,
     * which the validator refuses, look-ups return the first.
     *
     * @param version version of this configuration
     * @param dataCentres data centres of the deployment; empty if the file does not declare them
     * @param workspaces workspaces with their rates
     * @param services database services
     * @param openRoutes paths that need no key, besides the health routes
     * @param dataCentreStates states that the file sets; a data centre that is missing here keeps
     *     its state
     * @param keys keys that the file adds; {@link ControlCommand.ApplyConfiguration} keeps those in
     *     force, {@link ControlCommand.ReplaceConfiguration} withdraws those that are missing here
     * @param routes database names that sessions may ask for
     * @param sessionLimits limits of sessions
     * @param document text that the operator sent, to be read back as it is; empty if not kept
     */
    public Configuration(
            long version,
            List<DataCentreId> dataCentres,
            List<Workspace> workspaces,
            List<Service> services,
            List<String> openRoutes,
            Map<DataCentreId, DataCentreState> dataCentreStates,
            List<KeyRecord> keys,
            List<Route> routes,
            SessionLimits sessionLimits,
            String document) {
        mVersion = version;
        mDataCentres = List.copyOf(dataCentres);
        mWorkspaces = List.copyOf(workspaces);
        mServices = List.copyOf(services);
        mOpenRoutes = List.copyOf(openRoutes);
        mDataCentreStates = Map.copyOf(dataCentreStates);
        mKeys = List.copyOf(keys);
        mRoutes = List.copyOf(routes);
        mSessionLimits = Objects.requireNonNull(sessionLimits, "sessionLimits");
        mDocument = Objects.requireNonNull(document, "document");
        mWorkspaceById = index(mWorkspaces, Workspace::id);
        mServiceByName = index(mServices, Service::name);
        mRouteByDatabase = index(mRoutes, Route::database);
    }

    private static <K, V> Map<K, V> index(List<V> values, Function<V, K> key) {
        return values.stream()
                .collect(Collectors.toUnmodifiableMap(key, Function.identity(), (a, b) -> a));
    }

    /** Returns the version of this configuration. */
    public long version() {
        return mVersion;
    }

    /** Returns the data centres of the deployment. */
    public List<DataCentreId> dataCentres() {
        return mDataCentres;
    }

    /** Returns the workspaces with their rates. */
    public List<Workspace> workspaces() {
        return mWorkspaces;
    }

    /** Returns the database services. */
    public List<Service> services() {
        return mServices;
    }

    /** Returns the paths that need no key, besides the health routes. */
    public List<String> openRoutes() {
        return mOpenRoutes;
    }

    /** Returns the states of data centres that the file sets. */
    public Map<DataCentreId, DataCentreState> dataCentreStates() {
        return mDataCentreStates;
    }

    /** Returns the keys that the file adds. */
    public List<KeyRecord> keys() {
        return mKeys;
    }

    /** Returns the database names that sessions may ask for. */
    public List<Route> routes() {
        return mRoutes;
    }

    /** Returns the limits of sessions. */
    public SessionLimits sessionLimits() {
        return mSessionLimits;
    }

    /** Returns the text that the operator sent; empty if it is not kept. */
    public String document() {
        return mDocument;
    }

    /** Returns a copy without the operator's text, for hosts that never show it. */
    public Configuration withoutDocument() {
        return mDocument.isEmpty()
                ? this
                : new Configuration(
                        mVersion,
                        mDataCentres,
                        mWorkspaces,
                        mServices,
                        mOpenRoutes,
                        mDataCentreStates,
                        mKeys,
                        mRoutes,
                        mSessionLimits,
                        "");
    }

    /** Returns the route of a database name, if it is declared. */
    public Optional<Route> route(String database) {
        return Optional.ofNullable(mRouteByDatabase.get(database));
    }

    /** Returns whether a data centre may be named; any may where none is declared. */
    public boolean knowsDataCentre(DataCentreId id) {
        return mDataCentres.isEmpty() || mDataCentres.contains(id);
    }

    /** Returns the workspace of an id, if it is declared. */
    public Optional<Workspace> workspace(WorkspaceId id) {
        return Optional.ofNullable(mWorkspaceById.get(id));
    }

    /** Returns the service of a name, if it is declared. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(mServiceByName.get(name));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration that
                && mVersion == that.mVersion
                && mDataCentres.equals(that.mDataCentres)
                && mWorkspaces.equals(that.mWorkspaces)
                && mServices.equals(that.mServices)
                && mOpenRoutes.equals(that.mOpenRoutes)
                && mDataCentreStates.equals(that.mDataCentreStates)
                && mKeys.equals(that.mKeys)
                && mRoutes.equals(that.mRoutes)
                && mSessionLimits.equals(that.mSessionLimits)
                && mDocument.equals(that.mDocument);
    }

    @Override
    public int hashCode() {
        return Objects.hash(
                mVersion,
                mDataCentres,
                mWorkspaces,
                mServices,
                mOpenRoutes,
                mDataCentreStates,
                mKeys,
                mRoutes,
                mSessionLimits,
                mDocument);
    }

    /** Leaves out the keys, which hold hashes, and the text, which may hold keys. */
    @Override
    public String toString() {
        return "Configuration[version="
                + mVersion
                + ", dataCentres="
                + mDataCentres
                + ", workspaces="
                + mWorkspaces
                + ", services="
                + mServices
                + ", openRoutes="
                + mOpenRoutes
                + ", dataCentreStates="
                + mDataCentreStates
                + ", routes="
                + mRoutes.size()
                + "]";
    }
}
