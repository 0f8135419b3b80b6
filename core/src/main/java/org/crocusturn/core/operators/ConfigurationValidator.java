package org.crocusturn.core.operators;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.GroupId;

/**
 * Finds the semantic errors in a configuration. Thread-safe.
 *
 * <p>Takes time proportional to the size of the configuration.
 */
public final class ConfigurationValidator {
    /** Maximum rate in requests per second; keeps sums of tokens exact in floating point. */
    public static final long MAX_RATE = 1_000_000;

    /** Maximum number of requests in a burst. */
    public static final long MAX_BURST = 10_000_000;

    static final int MAX_INSTANCES = 9;

    /** Maximum number of statements that one copy of a database runs concurrently. */
    public static final int MAX_SLOTS = 10_000;

    /** Maximum number of connections that one copy of a database accepts. */
    public static final int MAX_CONNECTIONS = 100_000;

    private final Configuration mConfiguration;
    private final List<ConfigurationViolation> mViolations = new ArrayList<>();
    private final Map<String, Service> mServices = new HashMap<>();

    private ConfigurationValidator(Configuration configuration) {
        mConfiguration = configuration;
        configuration.services().forEach(s -> mServices.putIfAbsent(s.name(), s));
    }

    /** Returns all errors in the order of the file; empty if the configuration is valid. */
    public static List<ConfigurationViolation> validate(Configuration configuration) {
        ConfigurationValidator validator = new ConfigurationValidator(configuration);
        validator.checkTopLevel();
        for (int i = 0; i < configuration.workspaces().size(); i++) {
            validator.checkWorkspace("workspaces[" + i + "]", configuration.workspaces().get(i));
        }
        for (int i = 0; i < configuration.services().size(); i++) {
            validator.checkService("services[" + i + "]", configuration.services().get(i));
        }
        validator.checkRoutes();
        return List.copyOf(validator.mViolations);
    }

    private void checkTopLevel() {
        check(mConfiguration.version() >= 1, "version", mConfiguration.version(), "at least 1");
        checkUnique("dataCentres", "", mConfiguration.dataCentres());
        checkUnique(
                "workspaces",
                ".id",
                mConfiguration.workspaces().stream().map(Workspace::id).toList());
        checkUnique(
                "services",
                ".name",
                mConfiguration.services().stream().map(Service::name).toList());
        checkUnique("openRoutes", "", mConfiguration.openRoutes());
        checkUnique("keys", ".id", mConfiguration.keys().stream().map(KeyRecord::id).toList());
        checkUnique(
                "keys", ".sha256", mConfiguration.keys().stream().map(KeyRecord::hash).toList());
        for (int i = 0; i < mConfiguration.keys().size(); i++) {
            KeyRecord key = mConfiguration.keys().get(i);
            check(
                    mConfiguration.workspace(key.workspace()).isPresent(),
                    "keys[" + i + "].workspace",
                    key.workspace(),
                    "a declared workspace");
        }
        mConfiguration
                .dataCentreStates()
                .forEach(
                        (dataCentre, state) ->
                                check(
                                        mConfiguration.dataCentres().contains(dataCentre),
                                        "dataCentres",
                                        dataCentre,
                                        "a declared data centre"));
        for (int i = 0; i < mConfiguration.openRoutes().size(); i++) {
            String route = mConfiguration.openRoutes().get(i);
            check(
                    route.startsWith("/") && route.chars().allMatch(c -> c > ' ' && c < 127),
                    "openRoutes[" + i + "]",
                    route,
                    "a path that starts with / and has no spaces");
        }
    }

    private void checkWorkspace(String path, Workspace workspace) {
        RateLimit rate = workspace.rate();
        check(
                rate.perSecond() <= MAX_RATE,
                path + ".rate.perSecond",
                rate.perSecond(),
                "more than 0 and at most " + MAX_RATE);
        check(
                rate.burst() <= MAX_BURST,
                path + ".rate.burst",
                rate.burst(),
                "from 1 to " + MAX_BURST);
        for (String name : new TreeSet<>(workspace.services())) {
            check(
                    mServices.containsKey(name),
                    path + ".services",
                    name,
                    "the name of a declared service" + listNames(mServices.keySet()));
        }
        new TreeMap<>(workspace.databases())
                .forEach(
                        (service, database) ->
                                checkChosenDatabase(path, workspace, service, database));
    }

    private void checkChosenDatabase(
            String path, Workspace workspace, String service, String database) {
        check(
                workspace.services().contains(service),
                path + ".databases",
                service,
                "one of the workspace's services" + listNames(workspace.services()));
        Optional.ofNullable(mServices.get(service))
                .ifPresent(
                        s ->
                                check(
                                        s.databases().contains(database),
                                        path + ".databases." + service,
                                        database,
                                        "a database of the service"
                                                + listNames(Set.copyOf(s.databases()))));
    }

    private void checkService(String path, Service service) {
        checkName(path + ".name", service.name(), "name");
        check(!service.databases().isEmpty(), path + ".databases", "", "at least one name");
        checkUnique(path + ".databases", "", service.databases());
        for (int i = 0; i < service.databases().size(); i++) {
            checkName(path + ".databases[" + i + "]", "name", service.databases().get(i));
        }
        boolean durable = service.acknowledge() == AcknowledgeMode.DURABLE;
        checkRange(path + ".instances", service.instances(), 1, MAX_INSTANCES);
        check(
                !durable || service.instances() != 1,
                path + ".acknowledge",
                "durable",
                "primary where a service has one instance");
        checkRange(path + ".slots", service.slots(), 1, MAX_SLOTS);
        // A leaseholder uses at most half of the connections, so one connection is not enough.
        checkRange(path + ".connections", service.connections(), 2, MAX_CONNECTIONS);
    }

    private void checkRoutes() {
        checkUnique(
                "routes",
                ".database",
                mConfiguration.routes().stream().map(Route::database).toList());
        for (int i = 0; i < mConfiguration.routes().size(); i++) {
            Route route = mConfiguration.routes().get(i);
            check(
                    mServices.containsKey(route.service()),
                    "routes[" + i + "].service",
                    route.service(),
                    "the name of a declared service" + listNames(mServices.keySet()));
        }
    }

    private void checkName(String path, String service, String database) {
        try {
            GroupId.of(service, database);
        } catch (CrocusturnException e) {
            String value = database.equals("name") ? service : database;
            mViolations.add(
                    new ConfigurationViolation(
                            path,
                            value,
                            "1 to 100 letters, digits, dots, hyphens or underscores that start"
                                    + " with a letter or digit"));
        }
    }

    private void checkRange(String path, long value, long low, long high) {
        check(value >= low && value <= high, path, value, "from " + low + " to " + high);
    }

    private void checkUnique(String path, String suffix, List<?> values) {
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < values.size(); i++) {
            check(
                    seen.add(values.get(i)),
                    path + "[" + i + "]" + suffix,
                    values.get(i),
                    "used once");
        }
    }

    private void check(boolean valid, String path, Object value, String expected) {
        if (!valid) {
            mViolations.add(new ConfigurationViolation(path, String.valueOf(value), expected));
        }
    }

    private static String listNames(Set<String> names) {
        return names.stream().sorted().limit(10).collect(Collectors.joining(", ", " (", ")"));
    }
}
