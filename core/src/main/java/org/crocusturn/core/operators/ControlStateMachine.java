package org.crocusturn.core.operators;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.operators.ControlCommand.ApplyConfiguration;
import org.crocusturn.core.operators.ControlCommand.AssignLease;
import org.crocusturn.core.operators.ControlCommand.AssignUsageDuty;
import org.crocusturn.core.operators.ControlCommand.BeginFailover;
import org.crocusturn.core.operators.ControlCommand.CloseUsageWindow;
import org.crocusturn.core.operators.ControlCommand.CompletePromotion;
import org.crocusturn.core.operators.ControlCommand.ConfirmCoverage;
import org.crocusturn.core.operators.ControlCommand.ConfirmUsageReport;
import org.crocusturn.core.operators.ControlCommand.IssueKey;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;
import org.crocusturn.core.operators.ControlCommand.PatchConfiguration;
import org.crocusturn.core.operators.ControlCommand.RegisterEndpoint;
import org.crocusturn.core.operators.ControlCommand.ReleaseLease;
import org.crocusturn.core.operators.ControlCommand.RemoveEndpoint;
import org.crocusturn.core.operators.ControlCommand.ReplaceConfiguration;
import org.crocusturn.core.operators.ControlCommand.SetDataCentreDrained;
import org.crocusturn.core.operators.ControlCommand.WithdrawKey;

/**
 * Applies committed commands to the replicated state. All methods are pure functions.
 *
 * <p>A command copies the collection that it modifies: it takes O(groups) time for a lease or a
 * failover, O(keys) for a key and O(endpoints) for an endpoint. Applying a configuration takes time
 * proportional to its size plus the number of placements.
 */
public final class ControlStateMachine {
    /**
     * Maximum number of stored outcomes of operators' changes, which are returned for retried
     * changes.
     */
    public static final int MAX_CHANGES = 1_000;

    /**
     * Maximum number of stored withdrawn key ids, which are used to answer repeated withdrawals.
     */
    public static final int MAX_WITHDRAWN = 10_000;

    private ControlStateMachine() {}

    /**
     * The result of applying one command.
     *
     * @param state state after the command
     * @param outcome outcome of an operator's command; empty for other commands
     */
    public record Applied(ControlState state, Optional<ChangeOutcome> outcome) {
        /** Checks that no component is null. */
        public Applied {
            Objects.requireNonNull(state, "state");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Applies a command. A command that is rejected or ignored changes nothing but the version and,
     * for an operator's command, the stored outcomes.
     *
     * @param state state before the command
     * @param version index of the command's log entry, greater than the version of the state
     * @param command the command
     */
    public static Applied apply(ControlState state, long version, ControlCommand command) {
        if (version <= state.version()) {
            throw new IllegalArgumentException(
                    "version " + version + " must be greater than " + state.version());
        }
        if (command instanceof PatchConfiguration patch) {
            return apply(state, version, patch.toOperatorCommand(state.configuration()));
        }
        ControlState base = state.withVersion(version);
        if (command instanceof OperatorCommand operator) {
            return applyOperator(base, operator);
        }
        return new Applied(applyInternal(base, command), Optional.empty());
    }

    private static Applied applyOperator(ControlState state, OperatorCommand command) {
        ChangeOutcome stored = state.changes().get(command.changeId());
        if (stored != null) {
            return new Applied(state, Optional.of(stored));
        }
        Optional<Failure> refusal = refusal(state, command);
        ControlState changed = refusal.isEmpty() ? accept(state, command) : state;
        ChangeOutcome outcome = new ChangeOutcome(command.changeId(), state.version(), refusal);
        Map<String, ChangeOutcome> changes = new HashMap<>(changed.changes());
        changes.put(command.changeId(), outcome);
        if (changes.size() > MAX_CHANGES) {
            changes.values().stream()
                    .min(Comparator.comparingLong(ChangeOutcome::version))
                    .ifPresent(oldest -> changes.remove(oldest.changeId()));
        }
        return new Applied(changed.withChanges(changes), Optional.of(outcome));
    }

    private static Optional<Failure> refusal(ControlState state, OperatorCommand command) {
        if (command instanceof ApplyConfiguration apply) {
            return ConfigurationChange.refusal(state, apply.configuration());
        }
        if (command instanceof ReplaceConfiguration replace) {
            return ConfigurationReplacement.refusal(state, replace);
        }
        if (command instanceof IssueKey issue) {
            return issueRefusal(state, issue.key());
        }
        if (command instanceof WithdrawKey withdraw) {
            boolean exists =
                    state.withdrawn().containsKey(withdraw.keyId())
                            || anyKeyMatches(state, k -> k.id().equals(withdraw.keyId()));
            return refuseUnless(
                    exists, ErrorCode.NOT_FOUND, "key \"" + withdraw.keyId() + "\" does not exist");
        }
        if (command instanceof SetDataCentreDrained drain) {
            return drainRefusal(state, drain);
        }
        throw new IllegalArgumentException("command " + command + " is not supported");
    }

    /** An order that waited while its sender gave later ones must not undo them. */
    private static Optional<Failure> drainRefusal(ControlState state, SetDataCentreDrained drain) {
        DataCentreId dataCentre = drain.dataCentre();
        if (!state.configuration().acceptsDataCentre(dataCentre)) {
            return refuseUnless(
                    false,
                    ErrorCode.NOT_FOUND,
                    "data centre \"" + dataCentre + "\" is not declared");
        }
        boolean changesNothing = state.drained().contains(dataCentre) == drain.drained();
        long latest = state.drainOrders().getOrDefault(dataCentre, 0L);
        return refuseUnless(
                changesNothing || drain.precedingOrder().orElse(latest) == latest,
                ErrorCode.UNAVAILABLE,
                "another order for data centre \""
                        + dataCentre
                        + "\" may have been given after this one; send it again");
    }

    private static Optional<Failure> issueRefusal(ControlState state, KeyRecord key) {
        if (state.configuration().workspace(key.workspace()).isEmpty()) {
            return refuseUnless(
                    false,
                    ErrorCode.NOT_FOUND,
                    "workspace \"" + key.workspace() + "\" is not declared");
        }
        boolean unused =
                !state.keys().containsKey(key.hash())
                        && !state.withdrawn().containsKey(key.id())
                        && !anyKeyMatches(state, k -> k.id().equals(key.id()));
        return refuseUnless(
                unused, ErrorCode.CONFLICT, "key id \"" + key.id() + "\" or its hash is in use");
    }

    private static ControlState accept(ControlState state, OperatorCommand command) {
        if (command instanceof ApplyConfiguration apply) {
            return ConfigurationChange.accept(state, apply.configuration(), apply.changeId());
        }
        if (command instanceof ReplaceConfiguration replace) {
            return ConfigurationReplacement.accept(state, replace);
        }
        if (command instanceof IssueKey issue) {
            Map<String, KeyRecord> keys = new HashMap<>(state.keys());
            keys.put(issue.key().hash(), issue.key());
            return state.withKeys(keys, state.withdrawn());
        }
        if (command instanceof WithdrawKey withdraw) {
            return withdrawKey(state, withdraw.keyId());
        }
        SetDataCentreDrained drain = (SetDataCentreDrained) command;
        return state.withDrainOrder(drain.dataCentre(), drain.drained());
    }

    private static ControlState withdrawKey(ControlState state, String keyId) {
        if (state.withdrawn().containsKey(keyId)) {
            return state;
        }
        Map<String, KeyRecord> keys =
                state.keys().entrySet().stream()
                        .filter(e -> !e.getValue().id().equals(keyId))
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Map<String, Long> withdrawn = new HashMap<>(state.withdrawn());
        withdrawn.put(keyId, state.version());
        if (withdrawn.size() > MAX_WITHDRAWN) {
            withdrawn.entrySet().stream()
                    .min(Map.Entry.comparingByValue())
                    .map(Map.Entry::getKey)
                    .ifPresent(withdrawn::remove);
        }
        return state.withKeys(keys, withdrawn);
    }

    private static ControlState applyInternal(ControlState state, ControlCommand command) {
        if (command instanceof RegisterEndpoint register) {
            return registerEndpoint(state, register.endpoint());
        }
        if (command instanceof RemoveEndpoint remove) {
            return removeEndpoint(state, remove.endpoint());
        }
        if (command instanceof AssignLease assign) {
            return updateGroup(
                    state,
                    assign.group(),
                    g -> assign.leaseholder().epoch() == g.lastEpoch() + 1,
                    g -> g.withLeaseholder(assign.leaseholder()));
        }
        if (command instanceof ReleaseLease release) {
            return updateGroup(
                    state,
                    release.group(),
                    g -> g.leaseholder().filter(h -> h.epoch() == release.epoch()).isPresent(),
                    GroupRecord::withoutLeaseholder);
        }
        if (command instanceof ConfirmCoverage confirm) {
            return updateGroup(
                    state,
                    confirm.group(),
                    g -> g.leaseholder().filter(h -> h.epoch() == confirm.epoch()).isPresent(),
                    g -> g.withCoverage(g.coverage().withConfirmed(confirm.version())));
        }
        if (command instanceof BeginFailover begin) {
            return updateGroup(
                    state,
                    begin.group(),
                    g -> begin.term() == g.term() + 1,
                    g -> g.withFailover(begin.term()));
        }
        if (command instanceof CompletePromotion complete) {
            return updateGroup(
                    state,
                    complete.group(),
                    g ->
                            complete.term() == g.term()
                                    && g.term() > 0
                                    && g.primary().isEmpty()
                                    && state.endpoints().containsKey(complete.primary()),
                    g -> g.withPrimary(complete.primary(), complete.startIndex()));
        }
        return state.withUsage(changeUsage(state.usage(), command));
    }

    private static UsageLedger changeUsage(UsageLedger usage, ControlCommand command) {
        if (command instanceof AssignUsageDuty assign) {
            return usage.acceptsHolder(assign.fence())
                    ? usage.withHolder(assign.host(), assign.fence())
                    : usage;
        }
        if (command instanceof CloseUsageWindow close) {
            return usage.acceptsWindow(close.fence(), close.window().number())
                    ? usage.withClosed(close.window())
                    : usage;
        }
        if (command instanceof ConfirmUsageReport confirm) {
            return usage.withAcknowledged(confirm.window());
        }
        throw new IllegalArgumentException("command " + command + " is not supported");
    }

    // A later incarnation replaces earlier ones of the endpoint and at its address, and a delayed
    // announcement of an earlier one is ignored. Within one incarnation leaving is final, because
    // an announcement that was sent earlier may still arrive.
    private static ControlState registerEndpoint(ControlState state, EndpointRecord endpoint) {
        if (state.endpoints().values().stream().anyMatch(endpoint::isOutdatedBy)) {
            return state;
        }
        EndpointRecord known = state.endpoints().get(endpoint.id());
        boolean hasLeft =
                known != null
                        && endpoint.incarnation() > 0
                        && known.incarnation() == endpoint.incarnation()
                        && known.leaving();
        List<EndpointRecord> lost =
                state.endpoints().values().stream().filter(endpoint::losesLogOf).toList();
        Map<EndpointId, EndpointRecord> endpoints = new HashMap<>(state.endpoints());
        endpoints.values().removeIf(endpoint::replaces);
        endpoints.put(endpoint.id(), hasLeft ? endpoint.withLeaving(true) : endpoint);
        return withLosses(state.withEndpoints(endpoints), lost);
    }

    /** Returns the state after endpoints were lost together with their logs. */
    private static ControlState withLosses(ControlState state, List<EndpointRecord> lost) {
        Map<GroupId, GroupRecord> groups = new HashMap<>(state.groups());
        lost.stream()
                .flatMap(e -> e.databases().stream().map(d -> GroupId.of(e.service(), d.name())))
                .forEach(
                        id ->
                                groups.computeIfPresent(
                                        id,
                                        (key, group) ->
                                                group.withCoverage(
                                                        group.coverage()
                                                                .withLoss(state.version()))));
        return lost.isEmpty() ? state : state.withGroups(groups);
    }

    // A primary is kept until a failover has replaced it, because entry hosts need its address.
    private static ControlState removeEndpoint(ControlState state, EndpointId endpoint) {
        boolean primary =
                state.groups().values().stream()
                        .anyMatch(g -> g.primary().filter(endpoint::equals).isPresent());
        if (primary || !state.endpoints().containsKey(endpoint)) {
            return state;
        }
        Map<EndpointId, EndpointRecord> endpoints = new HashMap<>(state.endpoints());
        EndpointRecord lost = endpoints.remove(endpoint);
        return withLosses(state.withEndpoints(endpoints), List.of(lost));
    }

    private static ControlState updateGroup(
            ControlState state,
            GroupId id,
            Predicate<GroupRecord> allowed,
            UnaryOperator<GroupRecord> update) {
        GroupRecord group = state.groups().get(id);
        if (group == null || !allowed.test(group)) {
            return state;
        }
        Map<GroupId, GroupRecord> groups = new HashMap<>(state.groups());
        groups.put(id, update.apply(group));
        return state.withGroups(groups);
    }

    private static boolean anyKeyMatches(ControlState state, Predicate<KeyRecord> test) {
        return state.keys().values().stream().anyMatch(test);
    }

    private static Optional<Failure> refuseUnless(boolean allowed, ErrorCode code, String message) {
        return allowed ? Optional.empty() : Optional.of(Failure.notRun(code, message));
    }
}
