package org.crocusturn.daemon.wire;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ConfigurationDelta;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.DataCentreState;
import org.crocusturn.core.operators.PromotionMode;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.daemon.generated.OperatorsProto;

/** Converts configurations to and from Protobuf. */
final class ConfigurationMapper {
    private ConfigurationMapper() {}

    static OperatorsProto.Configuration encode(Configuration value) {
        OperatorsProto.Configuration.Builder builder =
                OperatorsProto.Configuration.newBuilder()
                        .setVersion(value.version())
                        .addAllOpenRoutes(value.openRoutes());
        value.dataCentres().forEach(d -> builder.addDataCentres(d.value()));
        value.workspaces().forEach(w -> builder.addWorkspaces(encode(w)));
        value.services().forEach(s -> builder.addServices(encode(s)));
        value.dataCentreStates().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                builder.addDataCentreSettings(
                                        OperatorsProto.DataCentreSetting.newBuilder()
                                                .setDataCentre(e.getKey().value())
                                                .setDrained(
                                                        e.getValue() == DataCentreState.DRAINED)));
        value.keys().forEach(k -> builder.addKeys(RecordMapper.encode(k)));
        value.routes().forEach(r -> builder.addRoutes(encode(r)));
        builder.setIdleTransactionMillis(value.sessionLimits().idleTransaction().toMillis());
        builder.setDocument(Compression.compress(value.document()));
        return builder.build();
    }

    static Configuration decode(OperatorsProto.Configuration value) {
        Map<DataCentreId, DataCentreState> states = new HashMap<>();
        value.getDataCentreSettingsList()
                .forEach(
                        s ->
                                states.put(
                                        DataCentreId.of(s.getDataCentre()),
                                        s.getDrained()
                                                ? DataCentreState.DRAINED
                                                : DataCentreState.IN_SERVICE));
        return new Configuration(
                value.getVersion(),
                value.getDataCentresList().stream().map(DataCentreId::of).toList(),
                value.getWorkspacesList().stream().map(ConfigurationMapper::decode).toList(),
                value.getServicesList().stream().map(ConfigurationMapper::decode).toList(),
                value.getOpenRoutesList(),
                states,
                value.getKeysList().stream().map(RecordMapper::decode).toList(),
                value.getRoutesList().stream().map(ConfigurationMapper::decode).toList(),
                new SessionLimits(Duration.ofMillis(value.getIdleTransactionMillis())),
                Compression.decompress(value.getDocument()));
    }

    static OperatorsProto.ConfigurationDelta encode(ConfigurationDelta value) {
        OperatorsProto.ConfigurationDelta.Builder builder =
                OperatorsProto.ConfigurationDelta.newBuilder()
                        .setBaseVersion(value.baseVersion())
                        .setChanged(encode(value.changed()));
        value.removedWorkspaces().forEach(w -> builder.addRemovedWorkspaces(w.value()));
        builder.addAllRemovedServices(value.removedServices());
        builder.addAllRemovedKeys(value.removedKeys());
        builder.addAllRemovedRoutes(value.removedRoutes());
        return builder.build();
    }

    static ConfigurationDelta decode(OperatorsProto.ConfigurationDelta value) {
        WireFormat.requireField(value.hasChanged(), "changed");
        return new ConfigurationDelta(
                value.getBaseVersion(),
                decode(value.getChanged()),
                value.getRemovedWorkspacesList().stream()
                        .map(WorkspaceId::of)
                        .collect(Collectors.toSet()),
                Set.copyOf(value.getRemovedServicesList()),
                Set.copyOf(value.getRemovedKeysList()),
                Set.copyOf(value.getRemovedRoutesList()));
    }

    private static OperatorsProto.Workspace encode(Workspace value) {
        OperatorsProto.Workspace.Builder builder =
                OperatorsProto.Workspace.newBuilder()
                        .setId(value.id().value())
                        .setPerSecond(value.rate().perSecond())
                        .setBurst(value.rate().burst());
        value.services().stream().sorted().forEach(builder::addServices);
        value.databases().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                builder.addDatabases(
                                        OperatorsProto.ServiceDatabase.newBuilder()
                                                .setService(e.getKey())
                                                .setDatabase(e.getValue())));
        return builder.build();
    }

    private static Workspace decode(OperatorsProto.Workspace value) {
        Map<String, String> databases = new HashMap<>();
        value.getDatabasesList().forEach(d -> databases.put(d.getService(), d.getDatabase()));
        return new Workspace(
                WorkspaceId.of(value.getId()),
                new RateLimit(value.getPerSecond(), value.getBurst()),
                new HashSet<>(value.getServicesList()),
                databases);
    }

    private static OperatorsProto.Route encode(Route value) {
        return OperatorsProto.Route.newBuilder()
                .setName(value.name())
                .setDatabase(value.database())
                .setService(value.service())
                .setConsistency(
                        OperatorsProto.Route.Consistency.valueOf(value.consistency().name()))
                .setMaxAgeMillis(value.maxAge().toMillis())
                .setTimeoutMillis(value.timeout().toMillis())
                .setTargetMillis(value.target().toMillis())
                .setPriority(value.priority())
                .setOpen(value.open())
                .build();
    }

    private static Route decode(OperatorsProto.Route value) {
        return new Route(
                value.getName(),
                value.getDatabase(),
                value.getService(),
                Consistency.valueOf(value.getConsistency().name()),
                Duration.ofMillis(value.getMaxAgeMillis()),
                Duration.ofMillis(value.getTimeoutMillis()),
                Duration.ofMillis(value.getTargetMillis()),
                value.getPriority(),
                value.getOpen());
    }

    private static OperatorsProto.Service encode(Service value) {
        return OperatorsProto.Service.newBuilder()
                .setName(value.name())
                .addAllDatabases(value.databases())
                .setInstances(value.instances())
                .setSlots(value.slots())
                .setConnections(value.connections())
                .setAcknowledge(
                        OperatorsProto.Service.Acknowledge.valueOf(value.acknowledge().name()))
                .setReplicaReadsWithoutToken(value.replicaReadsWithoutToken())
                .setPromotedByLeaseholder(value.promotion() == PromotionMode.LEASEHOLDER)
                .build();
    }

    private static Service decode(OperatorsProto.Service value) {
        return new Service(
                value.getName(),
                value.getDatabasesList(),
                value.getInstances(),
                value.getSlots(),
                value.getConnections(),
                AcknowledgeMode.valueOf(value.getAcknowledge().name()),
                value.getReplicaReadsWithoutToken(),
                value.getPromotedByLeaseholder()
                        ? PromotionMode.LEASEHOLDER
                        : PromotionMode.CONTROL_LEADER);
    }
}
