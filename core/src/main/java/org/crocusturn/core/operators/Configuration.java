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
 * The content of an operators' configuration file, which is always applied as a whole.
 *
 * <p>Immutable. Construction takes O(workspaces + services + routes) time. Lookups take O(1) time,
 * because each request of a caller makes several of them.
 */
public final class Configuration {
    /** The configuration before the first one is applied. */
    public static final Configuration EMPTY =
            new Configuration(0, List.of(), List.of(), List.of(), List.of());

    /**
     * Approximate size of a route, workspace, service or key in memory without its texts, in bytes:
     * objects, references, and entries of lists and indexes.
     */
    private static final long ELEMENT_BYTES = 400;

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

    /** Creates a configuration without data centre states and keys. */
    public Configuration(
            long version,
            List<DataCentreId> dataCentres,
            List<Workspace> workspaces,
            List<Service> services,
            List<String> openRoutes) {
        this(version, dataCentres, workspaces, services, openRoutes, Map.of(), List.of());
    }

    /** Creates a configuration without session routes. */
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
     * Creates a configuration and copies the collections. If an id or name is declared twice, which
     * {@link ConfigurationValidator} rejects, lookups return the first declaration.
     *
     * @param version version of this configuration
     * @param dataCentres data centres of the deployment; empty if the file does not declare them
     * @param workspaces workspaces with their rate limits
     * @param services database services
     * @param openRoutes paths that need no key, in addition to the health routes
     * @param dataCentreStates states that the file sets; data centres that are not listed keep
     *     their states
     * @param keys keys in the file; {@link ControlCommand.ApplyConfiguration} adds them to the keys
     *     in force, {@link ControlCommand.ReplaceConfiguration} also withdraws the keys that are
     *     not listed
     * @param routes database names that sessions may request
     * @param sessionLimits limits of sessions
     * @param document text that the operator sent, stored unchanged so that it can be read back;
     *     empty if it is not kept
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

    /** Returns the workspaces with their rate limits. */
    public List<Workspace> workspaces() {
        return mWorkspaces;
    }

    /** Returns the database services. */
    public List<Service> services() {
        return mServices;
    }

    /** Returns the paths that need no key, in addition to the health routes. */
    public List<String> openRoutes() {
        return mOpenRoutes;
    }

    /** Returns the data centre states that the file sets. */
    public Map<DataCentreId, DataCentreState> dataCentreStates() {
        return mDataCentreStates;
    }

    /** Returns the keys in the file. */
    public List<KeyRecord> keys() {
        return mKeys;
    }

    /** Returns the routes by which sessions request databases. */
    public List<Route> routes() {
        return mRoutes;
    }

    /** Returns the limits of sessions. */
    public SessionLimits sessionLimits() {
        return mSessionLimits;
    }

    /** Returns the approximate size of the configuration in memory, in bytes. */
    public long approximateBytes() {
        long elements =
                (long) mRoutes.size()
                        + mWorkspaces.size()
                        + mServices.size()
                        + mKeys.size()
                        + mDataCentres.size()
                        + mOpenRoutes.size();
        return ELEMENT_BYTES * elements + (long) Character.BYTES * mDocument.length();
    }

    /** Returns the text that the operator sent; empty if it is not kept. */
    public String document() {
        return mDocument;
    }

    /** Returns a copy without the operator's text, for hosts that never serve it. */
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

    /**
     * Returns whether a data centre is declared. If none is declared, every data centre is
     * accepted.
     */
    public boolean acceptsDataCentre(DataCentreId id) {
        return mDataCentres.isEmpty() || mDataCentres.contains(id);
    }

    /** Returns the workspace with an id, if it is declared. */
    public Optional<Workspace> workspace(WorkspaceId id) {
        return Optional.ofNullable(mWorkspaceById.get(id));
    }

    /** Returns the service with a name, if it is declared. */
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

    /** Omits the keys, which contain hashes, and the operator's text, which may contain keys. */
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
