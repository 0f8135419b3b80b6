package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.Decision;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against unsafe, unnecessary and missing promotions. */
class FailoverDecisionsTest {
    private static final GroupId GROUP = GroupId.of("s", "a");
    private static final long NOW_NANOS = 10_000_000_000L;

    /**
     * Parses a copy from its role, term, index and flags: f failed, d drained, u status unknown.
     */
    private static CopyHealth copy(int number, String text) {
        String[] parts = text.split(" ");
        boolean unseen = text.contains("u");
        long term = Long.parseLong(parts[1]);
        Role role = parts[0].equals("P") ? Role.PRIMARY : Role.REPLICA;
        LogPosition position = LogPosition.of(term, Long.parseLong(parts[2]));
        return new CopyHealth(
                new EndpointRecord(
                        EndpointId.of("e" + number),
                        "s",
                        DataCentreId.of("n"),
                        "127.0.0.1:1",
                        "status-" + number,
                        List.of(),
                        false),
                unseen
                        ? Optional.empty()
                        : Optional.of(new CopyStatus("a", role, term, position, 0)),
                NOW_NANOS,
                text.contains("f") ? Optional.of("no response for 900 ms") : Optional.empty(),
                !text.contains("d"));
    }

    private static GroupRecord group(long term, String primary) {
        GroupRecord record = GroupRecord.of(GROUP);
        GroupRecord started = term == 0 ? record : record.withFailover(term);
        return primary.isEmpty() ? started : started.withPrimary(EndpointId.of(primary), 0);
    }

    private static FailoverView view(GroupRecord group, boolean silenced, List<String> copies) {
        return new FailoverView(
                group,
                copies.size(),
                IntStream.range(0, copies.size()).mapToObj(i -> copy(i, copies.get(i))).toList(),
                silenced,
                false);
    }

    private static String describe(FailoverAction action) {
        if (action instanceof FailoverAction.Propose propose) {
            return propose.command().getClass().getSimpleName();
        }
        EndpointCommand command = ((FailoverAction.SendCommand) action).command();
        return command.getClass().getSimpleName() + " " + command.endpoint();
    }

    private static List<String> describeAll(Decision<FailoverState, FailoverAction> decision) {
        return decision.actions().stream()
                .filter(a -> !(a instanceof FailoverAction.Log))
                .map(FailoverDecisionsTest::describe)
                .toList();
    }

    static Stream<Arguments> firstSteps() {
        GroupRecord old = group(3, "e0");
        return Stream.of(
                Arguments.of(group(0, ""), List.of("R 0 0", "R 0 0", "R 0 0"), "BeginFailover"),
                Arguments.of(group(0, ""), List.of("R 0 0", "R 0 0", "R 0 0 u"), "BeginFailover"),
                Arguments.of(group(0, ""), List.of("R 0 0", "R 0 0 u", "R 0 0 u"), ""),
                Arguments.of(old, List.of("P 3 9 f", "R 3 9", "R 3 9"), "BeginFailover"),
                Arguments.of(old, List.of("P 3 9 f", "R 3 9 f", "R 3 9"), ""),
                Arguments.of(old, List.of("P 4 9", "R 3 9", "R 3 9"), "BeginFailover"),
                Arguments.of(old, List.of("P 3 9", "R 3 9", "P 2 9"), "Follow e1,Follow e2"),
                Arguments.of(old, List.of("P 3 9", "R 3 9 f", "R 3 9"), "Follow e2"),
                Arguments.of(old, List.of("R 3 9", "R 3 9 f", "R 3 9 f"), "Promote e0"),
                Arguments.of(group(3, ""), List.of("P 3 9", "R 3 9", "R 3 9"), "BeginFailover"));
    }

    @ParameterizedTest
    @MethodSource("firstSteps")
    void decidesTheFirstStep(GroupRecord group, List<String> copies, String expected) {
        FailoverState state = FailoverState.of(GROUP, 0);
        var decision = FailoverDecisions.step(state, view(group, false, copies), NOW_NANOS);
        assertEquals(expected, String.join(",", describeAll(decision)));
    }

    /**
     * Guards against primaries that are not rebalanced after an endpoint has returned to service.
     */
    @ParameterizedTest
    @CsvSource({
        "P 3 9, R 3 9, R 3 9, 29, HEALTHY",
        "P 3 9, R 3 9, R 3 9, 31, PREPARING",
        "P 3 9, R 3 9, R 3 9 f, 31, HEALTHY",
        "P 3 999, R 3 9, R 3 9, 31, HEALTHY",
        "P 3 9, R 2 9, R 2 9, 31, HEALTHY"
    })
    void returnsToThePreferredCopy(
            String first, String second, String third, long seconds, FailoverPhase expected) {
        List<String> copies = List.of(first, second, third);
        FailoverView view = view(group(3, "e0"), false, copies);
        assertNotEquals(
                "e0",
                view.preferred().get().id().value(),
                "the preferred copy must not be the primary");
        FailoverState state = FailoverState.of(GROUP, 0);
        var decision = FailoverDecisions.step(state, view, seconds * 1_000_000_000L);
        assertEquals(expected, decision.state().phase());
    }

    /** Guards against a first term that places all primaries on the endpoint that starts first. */
    @ParameterizedTest
    @CsvSource({"R 0 0, 1, ''", "R 0 0 u, 1, none", "R 0 0 u, 2, ''"})
    void firstTermWaitsForAllCopies(String third, long seconds, String none) {
        FailoverView view = view(group(0, ""), false, List.of("R 0 0", "R 0 0", third));
        var decision =
                FailoverDecisions.step(FailoverState.of(GROUP, 0), view, seconds * 1_000_000_000L);
        assertEquals(none.isEmpty() ? List.of("BeginFailover") : List.of(), describeAll(decision));
    }

    /**
     * Guards against fencing copies while the old leaseholder may still acknowledge writes, and
     * against promoting a stale copy.
     */
    @ParameterizedTest
    @CsvSource({
        "R 4 7 f, R 4 8, R 4 9, e2",
        "R 4 7 f, R 4 9, R 4 8, e1",
        "R 4 9 d, R 4 9, R 4 8 f, e1",
        "R 4 9 d, R 4 8, R 4 8 f, e0"
    })
    void promotesTheHighestPosition(String first, String second, String third, String expected) {
        List<String> before = List.of("P 3 9 f", "R 3 9", "R 3 9");
        FailoverState started =
                FailoverDecisions.step(
                                FailoverState.of(GROUP, 0),
                                view(group(3, "e0"), false, before),
                                NOW_NANOS)
                        .state();
        GroupRecord open = group(4, "");
        var waiting = FailoverDecisions.step(started, view(open, false, before), NOW_NANOS);
        assertEquals(List.of(), describeAll(waiting));
        var fencing = FailoverDecisions.step(waiting.state(), view(open, true, before), NOW_NANOS);
        assertEquals(List.of("Fence e0", "Fence e1", "Fence e2"), describeAll(fencing));
        FailoverView fenced = view(open, true, List.of(first, second, third));
        var promoting = FailoverDecisions.step(fencing.state(), fenced, NOW_NANOS);
        assertEquals(List.of("Promote " + expected), describeAll(promoting));
        var timedOut = FailoverDecisions.step(promoting.state(), fenced, 3 * NOW_NANOS);
        assertEquals(List.of("BeginFailover"), describeAll(timedOut));
    }

    /** Guards against a planned switchover without a replica in service. */
    @ParameterizedTest
    @CsvSource({
        "R 3 9, R 3 9, HOLDING",
        "R 3 9 d, R 3 9 d, HEALTHY",
        "R 3 9 f, R 3 9 d, HEALTHY",
        "R 2 9, R 2 9, HEALTHY"
    })
    void switchesOnlyToAReplicaInService(String second, String third, FailoverPhase expected) {
        FailoverView view = view(group(3, "e0"), false, List.of("P 3 9 d", second, third));
        FailoverState state = FailoverState.of(GROUP, 0);
        List<FailoverPhase> phases = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            state = FailoverDecisions.step(state, view, NOW_NANOS + i).state();
            phases.add(state.phase());
        }
        assertEquals(expected, phases.get(2));
    }

    /** Guards against a quorum that may contain neither copy of a durable write. */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 2", "3, 2", "4, 3", "5, 4", "7, 6"})
    void fencesOneOfAnyTwoCopies(int instances, int expected) {
        FailoverView view =
                new FailoverView(GroupRecord.of(GROUP), instances, List.of(), true, false);
        assertEquals(expected, view.quorum());
    }
}
