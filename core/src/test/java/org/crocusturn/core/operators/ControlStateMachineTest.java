package org.crocusturn.core.operators;

import static java.util.stream.Collectors.toSet;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.ControlCommand.ApplyConfiguration;
import org.crocusturn.core.operators.ControlCommand.AssignLease;
import org.crocusturn.core.operators.ControlCommand.BeginFailover;
import org.crocusturn.core.operators.ControlCommand.CompletePromotion;
import org.crocusturn.core.operators.ControlCommand.IssueKey;
import org.crocusturn.core.operators.ControlCommand.RegisterEndpoint;
import org.crocusturn.core.operators.ControlCommand.ReleaseLease;
import org.crocusturn.core.operators.ControlCommand.RemoveEndpoint;
import org.crocusturn.core.operators.ControlCommand.SetDataCentreDrained;
import org.crocusturn.core.operators.ControlCommand.WithdrawKey;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a control host that accepts a change that must be rejected, or loses one that it
 * accepted.
 */
class ControlStateMachineTest {
    private static final GroupId GROUP = GroupId.of("s", "a");
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");
    private static final EndpointId ENDPOINT = EndpointId.of("db");

    private static Configuration configuration(
            long version, Map<String, String> placed, String... databases) {
        Service service =
                new Service("s", List.of(databases), 3, 2, 16, AcknowledgeMode.DURABLE, false);
        Workspace workspace = new Workspace(WORKSPACE, new RateLimit(5, 5), Set.of("s"), placed);
        return new Configuration(
                version,
                List.of(DataCentreId.of("n")),
                List.of(workspace),
                List.of(service),
                List.of());
    }

    private static ApplyConfiguration apply(
            String id, long version, Map<String, String> placed, String... databases) {
        return new ApplyConfiguration(id, configuration(version, placed, databases));
    }

    private static IssueKey issue(String change, String id, char hash, String workspace) {
        return new IssueKey(
                change,
                new KeyRecord(id, String.valueOf(hash).repeat(64), WorkspaceId.of(workspace)));
    }

    private static RegisterEndpoint register() {
        return new RegisterEndpoint(
                new EndpointRecord(
                        ENDPOINT,
                        "s",
                        DataCentreId.of("n"),
                        "127.0.0.1:1",
                        "127.0.0.1:2",
                        List.of(),
                        false));
    }

    private static AssignLease assign(long epoch) {
        return new AssignLease(GROUP, new Leaseholder(HostId.of("h"), "127.0.0.1:3", 7, epoch));
    }

    private static ControlState run(ControlState state, ControlCommand... commands) {
        ControlState next = state;
        for (ControlCommand command : commands) {
            next = ControlStateMachine.apply(next, next.version() + 1, command).state();
        }
        return next;
    }

    private static ControlState base() {
        return run(
                ControlState.EMPTY,
                apply("c1", 1, Map.of("s", "a"), "a", "b"),
                issue("k1", "key", '1', "w"),
                register());
    }

    static Stream<Arguments> operatorCases() {
        return Stream.of(
                Arguments.of(apply("c2", 2, Map.of(), "a", "b"), null, ""),
                Arguments.of(apply("c2", 2, Map.of(), "a"), null, ""),
                Arguments.of(
                        apply("c2", 1, Map.of(), "a", "b"), ErrorCode.CONFLICT, "change \"c1\""),
                Arguments.of(apply("c2", 3, Map.of(), "a", "b"), ErrorCode.CONFLICT, "version 1,"),
                Arguments.of(apply("c1", 9, Map.of(), "x"), null, ""),
                Arguments.of(
                        apply("c2", 2, Map.of("s", "b"), "a", "b"), ErrorCode.CONFLICT, "move"),
                Arguments.of(
                        apply("c2", 2, Map.of(), "b"),
                        ErrorCode.CONFLICT,
                        "removes while it is in use"),
                Arguments.of(apply("c2", 2, Map.of()), ErrorCode.MALFORMED_REQUEST, "databases"),
                Arguments.of(issue("k2", "other", '2', "w"), null, ""),
                Arguments.of(issue("k2", "key", '2', "w"), ErrorCode.CONFLICT, "key"),
                Arguments.of(issue("k2", "other", '1', "w"), ErrorCode.CONFLICT, "hash"),
                Arguments.of(issue("k2", "other", '2', "v"), ErrorCode.NOT_FOUND, "v"),
                Arguments.of(new WithdrawKey("k2", "key"), null, ""),
                Arguments.of(new WithdrawKey("k2", "no"), ErrorCode.NOT_FOUND, "no"),
                Arguments.of(new SetDataCentreDrained("d", DataCentreId.of("n"), true), null, ""),
                Arguments.of(
                        new SetDataCentreDrained("d", DataCentreId.of("x"), true),
                        ErrorCode.NOT_FOUND,
                        "x"));
    }

    private static ApplyConfiguration withFile(
            Map<DataCentreId, DataCentreState> states, KeyRecord... keys) {
        Configuration plain = configuration(2, Map.of(), "a", "b");
        return new ApplyConfiguration(
                "file",
                new Configuration(
                        2,
                        plain.dataCentres(),
                        plain.workspaces(),
                        plain.services(),
                        plain.openRoutes(),
                        states,
                        List.of(keys)));
    }

    static Stream<Arguments> files() {
        DataCentreId n = DataCentreId.of("n");
        KeyRecord known = issue("", "key", '1', "w").key();
        KeyRecord more = issue("", "more", '2', "w").key();
        ControlCommand drain = new SetDataCentreDrained("d", n, true);
        ControlCommand withdraw = new WithdrawKey("x", "key");
        Map<DataCentreId, DataCentreState> none = Map.of();
        return Stream.of(
                Arguments.of(drain, withFile(none), true, Set.of("key"), true),
                Arguments.of(
                        drain,
                        withFile(Map.of(n, DataCentreState.IN_SERVICE)),
                        false,
                        Set.of("key"),
                        true),
                Arguments.of(
                        register(),
                        withFile(Map.of(n, DataCentreState.DRAINED), known, more),
                        true,
                        Set.of("key", "more"),
                        true),
                Arguments.of(
                        withdraw,
                        withFile(Map.of(n, DataCentreState.DRAINED), more, known),
                        false,
                        Set.of(),
                        false),
                Arguments.of(
                        register(),
                        withFile(none, issue("", "key", '2', "w").key()),
                        false,
                        Set.of("key"),
                        false),
                Arguments.of(
                        register(),
                        withFile(none, issue("", "other", '1', "w").key()),
                        false,
                        Set.of("key"),
                        false),
                Arguments.of(
                        register(),
                        withFile(none, issue("", "other", '2', "v").key()),
                        false,
                        Set.of("key"),
                        false),
                Arguments.of(
                        register(),
                        withFile(Map.of(DataCentreId.of("x"), DataCentreState.DRAINED), more),
                        false,
                        Set.of("key"),
                        false));
    }

    /**
     * Guards against a file that is applied partially, and against one that restores a withdrawn
     * key.
     */
    @ParameterizedTest
    @MethodSource("files")
    void appliesStatesAndKeysOfAFile(
            ControlCommand first,
            ApplyConfiguration file,
            boolean drained,
            Set<String> keys,
            boolean accepted) {
        ControlState after = run(base(), first, file);
        assertEquals(accepted, after.changes().get("file").accepted());
        assertEquals(accepted ? 2 : 1, after.configuration().version());
        assertEquals(drained, after.drained().contains(DataCentreId.of("n")));
        assertEquals(keys, after.keys().values().stream().map(KeyRecord::id).collect(toSet()));
    }

    @ParameterizedTest
    @MethodSource("operatorCases")
    void decidesOperatorsChanges(
            ControlCommand.OperatorCommand command, ErrorCode code, String part) {
        ControlState before = base();
        var applied = ControlStateMachine.apply(before, 9, command);
        Optional<Failure> refusal = applied.outcome().orElseThrow().refusal();
        assertEquals(Optional.ofNullable(code), refusal.map(Failure::code));
        refusal.ifPresent(f -> assertTrue(f.message().contains(part), f.message()));
        refusal.ifPresent(f -> assertEquals(Verdict.NOT_RUN, f.verdict()));
        if (code != null) {
            ControlState expected = before.withVersion(9).withChanges(applied.state().changes());
            assertEquals(expected, applied.state());
        }
        var again = ControlStateMachine.apply(applied.state(), 10, command);
        assertEquals(applied.outcome(), again.outcome());
    }

    static Stream<Arguments> groupCases() {
        ControlCommand begin = new BeginFailover(GROUP, 1);
        ControlCommand complete = new CompletePromotion(GROUP, 1, ENDPOINT, 0);
        return Stream.of(
                Arguments.of(List.of(), assign(1), true),
                Arguments.of(List.of(), assign(2), false),
                Arguments.of(List.of(assign(1)), assign(1), false),
                Arguments.of(List.of(assign(1)), new ReleaseLease(GROUP, 1), true),
                Arguments.of(List.of(assign(1)), new ReleaseLease(GROUP, 2), false),
                Arguments.of(List.of(assign(1), new ReleaseLease(GROUP, 1)), assign(1), false),
                Arguments.of(List.of(assign(1), new ReleaseLease(GROUP, 1)), assign(2), true),
                Arguments.of(List.of(), begin, true),
                Arguments.of(List.of(begin), begin, false),
                Arguments.of(List.of(), new BeginFailover(GROUP, 2), false),
                Arguments.of(List.of(begin), complete, true),
                Arguments.of(List.of(), complete, false),
                Arguments.of(List.of(begin, complete), complete, false),
                Arguments.of(
                        List.of(begin),
                        new CompletePromotion(GROUP, 1, EndpointId.of("no"), 0),
                        false),
                Arguments.of(List.of(), new RemoveEndpoint(ENDPOINT), true),
                Arguments.of(List.of(begin, complete), new RemoveEndpoint(ENDPOINT), false));
    }

    @ParameterizedTest
    @MethodSource("groupCases")
    void decidesGroupChanges(List<ControlCommand> first, ControlCommand command, boolean changes) {
        ControlState before = run(base(), first.toArray(ControlCommand[]::new));
        ControlState after = run(before, command);
        assertEquals(changes, !before.withVersion(after.version()).equals(after));
    }

    /**
     * Guards against a placement that changes without an operator's request, and against groups
     * that remain after their database is removed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c", "d"})
    void keepsPlacements(String chosen) {
        ControlState first =
                run(ControlState.EMPTY, apply("1", 1, Map.of("s", chosen), "a", "b", "c", "d"));
        assertEquals(Optional.of(GroupId.of("s", chosen)), first.groupOf(WORKSPACE, "s"));
        ControlState next = run(first, apply("2", 2, Map.of(), chosen, "e"));
        assertEquals(Optional.of(GroupId.of("s", chosen)), next.groupOf(WORKSPACE, "s"));
        assertEquals(Set.of(GroupId.of("s", chosen), GroupId.of("s", "e")), next.groups().keySet());
    }

    /**
     * Guards against stored outcomes and withdrawn key ids that grow without bound, and against the
     * loss of the latest ones.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, ControlStateMachine.MAX_CHANGES, ControlStateMachine.MAX_CHANGES + 5})
    void boundsTheOutcomes(int count) {
        ControlCommand[] commands =
                IntStream.range(0, count)
                        .mapToObj(i -> new WithdrawKey("change-" + i, "key"))
                        .toArray(ControlCommand[]::new);
        ControlState state = run(base(), commands);
        assertEquals(Math.min(count + 2, ControlStateMachine.MAX_CHANGES), state.changes().size());
        assertTrue(state.changes().get("change-" + (count - 1)).accepted());
        assertEquals(Set.of("key"), state.withdrawn().keySet());
        assertTrue(state.keys().isEmpty());
    }
}
