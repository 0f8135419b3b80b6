package org.crocusturn.daemon.wire;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.PlacementKey;
import org.crocusturn.core.operators.UsageLedger;
import org.crocusturn.daemon.generated.OperatorsProto;

/** Converts the replicated state to and from Protobuf; equal states have equal encodings. */
final class StateMapper {
    private static final Comparator<PlacementKey> BY_WORKSPACE_AND_SERVICE =
            Comparator.comparing(PlacementKey::workspace).thenComparing(PlacementKey::service);

    private StateMapper() {}

    static OperatorsProto.ControlState encode(ControlState value) {
        OperatorsProto.ControlState.Builder builder =
                OperatorsProto.ControlState.newBuilder()
                        .setVersion(value.version())
                        .setConfiguration(ConfigurationMapper.encode(value.configuration()))
                        .setConfigurationChange(value.configurationChange());
        new TreeMap<>(value.withdrawn()).forEach(builder::putWithdrawn);
        value.drainOrders().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> builder.putDrainOrders(e.getKey().value(), e.getValue()));
        value.drained().stream().sorted().forEach(d -> builder.addDrained(d.value()));
        addKeys(builder, value);
        addEndpoints(builder, value);
        addGroups(builder, value);
        addPlacements(builder, value);
        addChanges(builder, value);
        if (!value.usage().equals(UsageLedger.EMPTY)) {
            builder.setUsage(UsageMapper.encode(value.usage()));
        }
        return builder.build();
    }

    static ControlState decode(OperatorsProto.ControlState value) {
        WireFormat.requireField(value.hasConfiguration(), "configuration");
        return new ControlState(
                value.getVersion(),
                ConfigurationMapper.decode(value.getConfiguration()),
                toMap(
                        value.getKeysList(),
                        OperatorsProto.StoredKey::getKey,
                        k -> RecordMapper.decode(k.getRecord())),
                value.getDrainedList().stream().map(DataCentreId::of).collect(Collectors.toSet()),
                toMap(
                        value.getEndpointsList(),
                        e -> EndpointId.of(e.getKey()),
                        e -> RecordMapper.decode(e.getRecord())),
                toMap(
                        value.getGroupsList(),
                        g -> CommonMapper.decode(g.getKey()),
                        g -> RecordMapper.decode(g.getRecord())),
                toMap(
                        value.getPlacementsList(),
                        p -> new PlacementKey(WorkspaceId.of(p.getWorkspace()), p.getService()),
                        OperatorsProto.Placement::getDatabase),
                toMap(
                        value.getChangesList(),
                        OperatorsProto.StoredChange::getKey,
                        c -> RecordMapper.decode(c.getOutcome())),
                value.getConfigurationChange(),
                value.getWithdrawnMap(),
                value.getDrainOrdersMap().entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        e -> DataCentreId.of(e.getKey()), Map.Entry::getValue)),
                value.hasUsage() ? UsageMapper.decode(value.getUsage()) : UsageLedger.EMPTY);
    }

    private static void addKeys(OperatorsProto.ControlState.Builder builder, ControlState value) {
        value.keys().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                builder.addKeys(
                                        OperatorsProto.StoredKey.newBuilder()
                                                .setKey(e.getKey())
                                                .setRecord(RecordMapper.encode(e.getValue()))));
    }

    private static void addEndpoints(
            OperatorsProto.ControlState.Builder builder, ControlState value) {
        value.endpoints().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                builder.addEndpoints(
                                        OperatorsProto.StoredEndpoint.newBuilder()
                                                .setKey(e.getKey().value())
                                                .setRecord(RecordMapper.encode(e.getValue()))));
    }

    private static void addGroups(OperatorsProto.ControlState.Builder builder, ControlState value) {
        value.groups().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                builder.addGroups(
                                        OperatorsProto.StoredGroup.newBuilder()
                                                .setKey(CommonMapper.encode(e.getKey()))
                                                .setRecord(RecordMapper.encode(e.getValue()))));
    }

    private static void addPlacements(
            OperatorsProto.ControlState.Builder builder, ControlState value) {
        value.placements().entrySet().stream()
                .sorted(Map.Entry.comparingByKey(BY_WORKSPACE_AND_SERVICE))
                .forEach(
                        e ->
                                builder.addPlacements(
                                        OperatorsProto.Placement.newBuilder()
                                                .setWorkspace(e.getKey().workspace().value())
                                                .setService(e.getKey().service())
                                                .setDatabase(e.getValue())));
    }

    private static void addChanges(
            OperatorsProto.ControlState.Builder builder, ControlState value) {
        value.changes().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(
                        e ->
                                builder.addChanges(
                                        OperatorsProto.StoredChange.newBuilder()
                                                .setKey(e.getKey())
                                                .setOutcome(RecordMapper.encode(e.getValue()))));
    }

    private static <P, K, V> Map<K, V> toMap(
            List<P> entries, Function<P, K> key, Function<P, V> value) {
        Map<K, V> result = new HashMap<>();
        entries.forEach(e -> result.put(key.apply(e), value.apply(e)));
        return result;
    }
}
