package org.crocusturn.daemon.operators;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.Names;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ConfigurationValidator;
import org.crocusturn.core.operators.DataCentreState;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.daemon.settings.Fault;
import org.crocusturn.daemon.settings.FaultsException;
import org.crocusturn.daemon.settings.YamlValue;

/** Reads the operators' configuration file; a file with any fault is rejected as a whole. */
public final class ConfigurationReader {
    private static final int MAX_INSTANCES = 15;
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final long MAX_BURST = 1_000_000_000L;
    private static final String PLACEHOLDER_HASH = "0".repeat(64);
    private static final String NAME_RULE =
            "1 to 100 letters, digits, dots, hyphens or underscores, the first a letter or digit";

    private final List<Fault> mFaults = new ArrayList<>();

    private ConfigurationReader() {}

    /**
     * Reads a configuration.
     *
     * @param text content of the file
     * @throws FaultsException if the file has faults; the exception lists all that were found
     */
    public static Configuration read(String text) {
        return new ConfigurationReader().readFile(text);
    }

    private Configuration readFile(String text) {
        YamlValue file =
                YamlValue.parse(text, mFaults)
                        .allowOnly(
                                "version",
                                "dataCentres",
                                "openRoutes",
                                "services",
                                "workspaces",
                                "keys");
        long version = file.required("version").number(1, 1, Long.MAX_VALUE);
        List<YamlValue> dataCentreValues = file.required("dataCentres").list();
        List<DataCentreId> dataCentres =
                dataCentreValues.stream()
                        .flatMap(v -> readName(dataCentreName(v), DataCentreId::of).stream())
                        .toList();
        requireUnique(dataCentreValues, v -> dataCentreName(v).text(""));
        Map<DataCentreId, DataCentreState> states = new HashMap<>();
        dataCentreValues.stream().filter(YamlValue::isMapping).forEach(v -> readState(v, states));
        List<YamlValue> serviceValues = file.required("services").list();
        List<Service> services =
                serviceValues.stream().flatMap(v -> readService(v).stream()).toList();
        requireUnique(serviceValues, v -> v.optional("name").text(""));
        Map<String, Service> byName =
                services.stream()
                        .collect(Collectors.toMap(Service::name, s -> s, (first, next) -> first));
        List<YamlValue> workspaceValues = file.required("workspaces").list();
        List<Workspace> workspaces =
                workspaceValues.stream().flatMap(v -> readWorkspace(v, byName).stream()).toList();
        requireUnique(workspaceValues, v -> v.optional("name").text(""));
        List<String> openRoutes = readOpenRoutes(file.optional("openRoutes"));
        List<KeyRecord> keys = readKeys(file.optional("keys").list(), workspaces);
        if (!mFaults.isEmpty()) {
            throw FaultsException.of(mFaults);
        }
        Configuration configuration =
                new Configuration(
                        version, dataCentres, workspaces, services, openRoutes, states, keys);
        validate(file, configuration);
        return configuration;
    }

    /** Applies the rules of the control hosts, so that both reject the same files. */
    private static void validate(YamlValue file, Configuration configuration) {
        List<Fault> faults =
                ConfigurationValidator.validate(configuration).stream()
                        .map(
                                f ->
                                        new Fault(
                                                file.lineOf(f.path()),
                                                f.path(),
                                                f.value(),
                                                f.expected()))
                        .toList();
        if (!faults.isEmpty()) {
            throw FaultsException.of(faults);
        }
    }

    private static YamlValue dataCentreName(YamlValue value) {
        return value.isMapping() ? value.optional("name") : value;
    }

    private static void readState(YamlValue value, Map<DataCentreId, DataCentreState> states) {
        value.allowOnly("name", "state");
        Optional<DataCentreId> dataCentre = readName(value.required("name"), DataCentreId::of);
        YamlValue state = value.optional("state");
        String stateName = oneOf(state, "in-service", Set.of("in-service", "drained"));
        if (state.isPresent()) {
            dataCentre.ifPresent(
                    c ->
                            states.put(
                                    c,
                                    stateName.equals("drained")
                                            ? DataCentreState.DRAINED
                                            : DataCentreState.IN_SERVICE));
        }
    }

    private static List<KeyRecord> readKeys(List<YamlValue> values, List<Workspace> workspaces) {
        requireUnique(values, v -> v.optional("id").text(""));
        requireUnique(values, v -> v.optional("sha256").text(""));
        return values.stream().flatMap(v -> readKey(v, workspaces).stream()).toList();
    }

    private static Optional<KeyRecord> readKey(YamlValue value, List<Workspace> workspaces) {
        value.allowOnly("id", "workspace", "sha256");
        Optional<String> id = readName(value.required("id"), text -> Names.check(text, "id"));
        YamlValue workspaceValue = value.required("workspace");
        Optional<WorkspaceId> workspace = readName(workspaceValue, WorkspaceId::of);
        if (workspace.isPresent()
                && workspaces.stream().noneMatch(w -> w.id().equals(workspace.get()))) {
            workspaceValue.addFault("a workspace of this file");
        }
        String hash =
                value.required("sha256")
                        .text(
                                PLACEHOLDER_HASH,
                                "64 lower-case hexadecimal digits",
                                text -> text.matches("[0-9a-f]{64}"));
        return id.flatMap(i -> workspace.map(w -> new KeyRecord(i, hash, w)));
    }

    private Optional<Service> readService(YamlValue value) {
        value.allowOnly(
                "name",
                "instances",
                "databases",
                "slots",
                "connections",
                "acknowledge",
                "withoutToken");
        Optional<String> name = readName(value.required("name"), text -> Names.check(text, "name"));
        List<YamlValue> databases = value.required("databases").list();
        databases.forEach(v -> readName(v, text -> Names.check(text, "name")));
        requireUnique(databases, v -> v.text(""));
        long instances = value.required("instances").number(1, 1, MAX_INSTANCES);
        long slots = value.required("slots").number(1, 1, MAX_SLOTS);
        long connections = value.required("connections").number(2, 2, MAX_CONNECTIONS);
        String acknowledge =
                oneOf(value.optional("acknowledge"), "durable", Set.of("durable", "primary"));
        String withoutToken =
                oneOf(value.optional("withoutToken"), "primary", Set.of("primary", "replica"));
        return name.map(
                n ->
                        new Service(
                                n,
                                databases.stream().map(v -> v.text("")).toList(),
                                (int) instances,
                                (int) slots,
                                (int) connections,
                                acknowledge.equals("durable")
                                        ? AcknowledgeMode.DURABLE
                                        : AcknowledgeMode.PRIMARY,
                                withoutToken.equals("replica")));
    }

    private Optional<Workspace> readWorkspace(YamlValue value, Map<String, Service> services) {
        value.allowOnly("name", "rate", "burst", "services", "databases");
        Optional<WorkspaceId> name = readName(value.required("name"), WorkspaceId::of);
        double rate = value.required("rate").rate();
        long burst = value.required("burst").number(1, 1, MAX_BURST);
        List<YamlValue> serviceValues = value.required("services").list();
        serviceValues.stream()
                .filter(v -> !services.containsKey(v.text("")))
                .forEach(v -> v.addFault("a service of this file"));
        requireUnique(serviceValues, v -> v.text(""));
        Set<String> serviceNames =
                serviceValues.stream().map(v -> v.text("")).collect(Collectors.toSet());
        Map<String, YamlValue> databaseValues = value.optional("databases").map();
        databaseValues.forEach(
                (service, database) -> checkDatabase(service, database, serviceNames, services));
        Map<String, String> databases =
                databaseValues.entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().text("")));
        return name.map(
                id -> new Workspace(id, new RateLimit(rate, burst), serviceNames, databases));
    }

    private void checkDatabase(
            String service,
            YamlValue database,
            Set<String> workspaceServices,
            Map<String, Service> services) {
        Service definition = services.get(service);
        if (definition == null || !workspaceServices.contains(service)) {
            database.addFault("a database of a service that the workspace uses");
        } else if (!definition.databases().contains(database.text(""))) {
            database.addFault("one of " + String.join(", ", definition.databases()));
        }
    }

    private List<String> readOpenRoutes(YamlValue value) {
        List<YamlValue> routes = value.list();
        requireUnique(routes, v -> v.text(""));
        return routes.stream()
                .map(
                        v ->
                                v.text(
                                        "/",
                                        "a path that starts with / and is not under /v1 or"
                                                + " /health",
                                        path ->
                                                path.matches("/[A-Za-z0-9._/-]{0,200}")
                                                        && !path.startsWith("/v1")
                                                        && !path.startsWith("/health")))
                .toList();
    }

    private static String oneOf(YamlValue value, String defaultValue, Set<String> allowed) {
        String description = allowed.stream().sorted().collect(Collectors.joining(" or "));
        return value.text(defaultValue, description, allowed::contains);
    }

    private static <T> Optional<T> readName(YamlValue value, Function<String, T> factory) {
        if (!value.isPresent()) {
            return Optional.empty();
        }
        String text = value.text("?");
        try {
            return Optional.of(factory.apply(text));
        } catch (CrocusturnException e) {
            value.addFault(NAME_RULE);
            return Optional.empty();
        }
    }

    private static void requireUnique(List<YamlValue> values, Function<YamlValue, String> key) {
        Set<String> seen = new HashSet<>();
        values.stream()
                .filter(v -> !seen.add(key.apply(v)))
                .forEach(v -> v.addFault("a value that is unique in the list"));
    }
}
