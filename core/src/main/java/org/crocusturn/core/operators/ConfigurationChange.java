package org.crocusturn.core.operators;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;

/** Decides whether a configuration may succeed the one in force, and applies it to the state. */
final class ConfigurationChange {
    private ConfigurationChange() {}

    static Optional<Failure> refusal(ControlState state, Configuration next) {
        Configuration current = state.configuration();
        if (next.version() != current.version() + 1) {
            String currentChange = state.configurationChange();
            return refuse(
                    ErrorCode.CONFLICT,
                    "configuration version "
                            + next.version()
                            + " does not follow version "
                            + current.version()
                            + ", which is in force"
                            + (currentChange.isEmpty()
                                    ? ""
                                    : " by change \"" + currentChange + "\""));
        }
        List<ConfigurationViolation> violations = ConfigurationValidator.validate(next);
        if (!violations.isEmpty()) {
            return refuse(
                    ErrorCode.MALFORMED_REQUEST,
                    violations.stream()
                            .map(ConfigurationViolation::toString)
                            .collect(Collectors.joining("; ")));
        }
        List<String> conflicts =
                next.workspaces().stream()
                        .flatMap(
                                w ->
                                        w.services().stream()
                                                .sorted()
                                                .map(s -> placementConflict(state, w, s, next)))
                        .flatMap(Optional::stream)
                        .toList();
        return conflicts.isEmpty()
                ? keyConflict(state, next)
                : refuse(ErrorCode.CONFLICT, String.join("; ", conflicts));
    }

    private static Optional<Failure> keyConflict(ControlState state, Configuration next) {
        Set<String> usedIds =
                state.keys().values().stream().map(KeyRecord::id).collect(Collectors.toSet());
        return next.keys().stream()
                .filter(key -> !key.equals(state.keys().get(key.hash())))
                .filter(
                        key ->
                                state.keys().containsKey(key.hash())
                                        || state.withdrawn().containsKey(key.id())
                                        || usedIds.contains(key.id()))
                .findFirst()
                .flatMap(
                        key ->
                                refuse(
                                        ErrorCode.CONFLICT,
                                        "key id \""
                                                + key.id()
                                                + "\" or its hash is in use or withdrawn"));
    }

    static ControlState accept(ControlState state, Configuration next, String changeId) {
        Map<GroupId, GroupRecord> configured =
                next.services().stream()
                        .flatMap(s -> s.databases().stream().map(d -> GroupId.of(s.name(), d)))
                        .collect(
                                Collectors.toMap(
                                        Function.identity(),
                                        id -> state.groups().getOrDefault(id, GroupRecord.of(id))));
        // A group that had a leaseholder has acknowledged commits. Its epochs must not be used
        // again, and its endpoints stay known in case a later configuration has it again.
        Map<GroupId, GroupRecord> groups =
                state.groups().entrySet().stream()
                        .filter(e -> e.getValue().lastEpoch() > 0)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        groups.putAll(configured);
        Set<String> services =
                groups.keySet().stream().map(GroupId::service).collect(Collectors.toSet());
        Map<EndpointId, EndpointRecord> endpoints =
                state.endpoints().entrySet().stream()
                        .filter(e -> services.contains(e.getValue().service()))
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Map<String, KeyRecord> keys = new HashMap<>(state.keys());
        next.keys().forEach(key -> keys.put(key.hash(), key));
        return withDataCentreStates(state, next)
                .withConfiguration(next, changeId)
                .withGroups(groups)
                .withEndpoints(endpoints)
                .withKeys(keys, state.withdrawn())
                .withPlacements(assignPlacements(state, next, configured.keySet()));
    }

    private static ControlState withDataCentreStates(ControlState state, Configuration next) {
        Map<DataCentreId, Boolean> changes = new TreeMap<>();
        state.drained().stream()
                .filter(dataCentre -> !next.acceptsDataCentre(dataCentre))
                .forEach(dataCentre -> changes.put(dataCentre, false));
        next.dataCentreStates()
                .forEach(
                        (dataCentre, value) ->
                                changes.put(dataCentre, value == DataCentreState.DRAINED));
        ControlState result = state;
        for (Map.Entry<DataCentreId, Boolean> change : changes.entrySet()) {
            boolean drained = change.getValue();
            result =
                    result.drained().contains(change.getKey()) == drained
                            ? result
                            : result.withDrainOrder(change.getKey(), drained);
        }
        return result;
    }

    // A placement is kept after its workspace is removed while the group exists, because the group
    // still holds the data.
    private static Map<PlacementKey, String> assignPlacements(
            ControlState state, Configuration next, Set<GroupId> groups) {
        Map<PlacementKey, String> placements = new HashMap<>(state.placements());
        placements
                .entrySet()
                .removeIf(e -> !groups.contains(GroupId.of(e.getKey().service(), e.getValue())));
        Map<String, Service> services =
                next.services().stream()
                        .collect(Collectors.toMap(Service::name, Function.identity()));
        for (Workspace workspace : next.workspaces()) {
            for (String name : workspace.services()) {
                placements.computeIfAbsent(
                        new PlacementKey(workspace.id(), name),
                        key -> chooseDatabase(workspace, services.get(name)));
            }
        }
        return placements;
    }

    private static String chooseDatabase(Workspace workspace, Service service) {
        String chosen = workspace.databases().get(service.name());
        if (chosen != null) {
            return chosen;
        }
        String key = workspace.id() + "/" + service.name();
        String best = service.databases().get(0);
        for (String database : service.databases()) {
            if (RendezvousHash.score(key, database) > RendezvousHash.score(key, best)) {
                best = database;
            }
        }
        return best;
    }

    private static Optional<String> placementConflict(
            ControlState state, Workspace workspace, String service, Configuration next) {
        String placed = state.placements().get(new PlacementKey(workspace.id(), service));
        if (placed == null) {
            return Optional.empty();
        }
        String placement =
                "workspace \"" + workspace.id() + "\" is placed on " + service + "/" + placed;
        String chosen = workspace.databases().getOrDefault(service, placed);
        if (!chosen.equals(placed)) {
            return Optional.of(placement + " and cannot move to " + service + "/" + chosen);
        }
        boolean retained =
                next.service(service).filter(s -> s.databases().contains(placed)).isPresent();
        return retained
                ? Optional.empty()
                : Optional.of(placement + ", which the configuration removes while it is in use");
    }

    private static Optional<Failure> refuse(ErrorCode code, String message) {
        return Optional.of(Failure.notRun(code, message));
    }
}
