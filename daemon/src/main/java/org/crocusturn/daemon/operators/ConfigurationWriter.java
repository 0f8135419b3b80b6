package org.crocusturn.daemon.operators;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.DataCentreState;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;
import org.yaml.snakeyaml.Yaml;

/** Writes configurations in the file format of {@link ConfigurationReader}. */
public final class ConfigurationWriter {
    private ConfigurationWriter() {}

    /** Returns a configuration in YAML. */
    public static String write(Configuration configuration) {
        Map<String, Object> file = new LinkedHashMap<>();
        file.put("version", configuration.version());
        file.put(
                "dataCentres",
                configuration.dataCentres().stream()
                        .map(c -> dataCentre(configuration, c))
                        .toList());
        file.put("openRoutes", configuration.openRoutes());
        file.put(
                "services",
                configuration.services().stream().map(ConfigurationWriter::service).toList());
        file.put(
                "workspaces",
                configuration.workspaces().stream().map(ConfigurationWriter::workspace).toList());
        if (!configuration.keys().isEmpty()) {
            file.put("keys", configuration.keys().stream().map(ConfigurationWriter::key).toList());
        }
        return new Yaml().dump(file);
    }

    private static Object dataCentre(Configuration configuration, DataCentreId dataCentre) {
        DataCentreState state = configuration.dataCentreStates().get(dataCentre);
        if (state == null) {
            return dataCentre.value();
        }
        String stateName = state == DataCentreState.DRAINED ? "drained" : "in-service";
        return new LinkedHashMap<>(Map.of("name", dataCentre.value(), "state", stateName));
    }

    private static Map<String, Object> key(KeyRecord key) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("id", key.id());
        fields.put("workspace", key.workspace().value());
        fields.put("sha256", key.hash());
        return fields;
    }

    private static Map<String, Object> service(Service service) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", service.name());
        fields.put("instances", service.instances());
        fields.put("databases", service.databases());
        fields.put("slots", service.slots());
        fields.put("connections", service.connections());
        fields.put(
                "acknowledge",
                service.acknowledge() == AcknowledgeMode.DURABLE ? "durable" : "primary");
        fields.put("withoutToken", service.replicaReadsWithoutToken() ? "replica" : "primary");
        return fields;
    }

    private static Map<String, Object> workspace(Workspace workspace) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", workspace.id().value());
        fields.put("rate", rate(workspace.rate().perSecond()));
        fields.put("burst", workspace.rate().burst());
        fields.put("services", List.copyOf(new java.util.TreeSet<>(workspace.services())));
        fields.put("databases", new TreeMap<>(workspace.databases()));
        return fields;
    }

    /** Formats a rate without exponent and trailing zeros, as the reader requires. */
    private static String rate(double perSecond) {
        return java.math.BigDecimal.valueOf(perSecond).stripTrailingZeros().toPlainString() + "/s";
    }
}
