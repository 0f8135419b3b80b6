package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a group that has no leader, and so no acknowledged change, after a loss of power
 * and of as many disks as it has to tolerate, because it still counts a host that was replaced.
 */
class ToleratedLossesTest {
    private static final Duration STARTUP = Duration.ofSeconds(6);

    /** Time of a process from its start until it asks to join, on a slow host. */
    private static final Duration PROCESS_START = Duration.ofMillis(1_500);

    /** Time after its start from which a new host no longer counts as lost. */
    private static final Duration CATCH_UP = Duration.ofSeconds(4);

    /** Longest time of a host from its stop signal until its process ends. */
    private static final Duration STOP_TIME = Duration.ofMillis(1_200);

    private static final Duration RECOVERY = Duration.ofSeconds(3);

    private static final Duration COMMIT = Duration.ofMillis(200);

    static Stream<Arguments> losses() {
        return Stream.of(
                        group(3, 1, 0),
                        group(3, 1, 1),
                        group(3, 1, 2),
                        group(4, 1, 1),
                        group(5, 2, 0),
                        group(5, 2, 1),
                        group(5, 2, 2),
                        group(6, 2, 1),
                        group(8, 2, 2))
                .flatMap(cases -> cases);
    }

    /**
     * Returns the cases of a group, one for each time until the successor of a host starts.
     *
     * @param hosts number of control hosts
     * @param disks number of disks that are lost at the same time
     * @param replaced number of hosts that are replaced before, one after the other
     */
    private static Stream<Arguments> group(int hosts, int disks, int replaced) {
        return Stream.of(0, 500, 1_000, 3_000)
                .map(delayMillis -> Arguments.of(hosts, disks, replaced, delayMillis));
    }

    @ParameterizedTest(
            name = "{0} hosts, {1} lost disks, {2} replaced hosts, successor after {3} ms")
    @MethodSource("losses")
    void electsLeaderAfterToleratedLosses(int hosts, int disks, int replaced, int delayMillis) {
        for (int choice : choices(hosts, disks)) {
            List<HostId> names = names(hosts);
            ReplacementRun run = ReplacementRun.start(names);
            run.advance(STARTUP);
            List<HostId> present = new ArrayList<>(names);
            for (int n = 0; n < replaced; n++) {
                replace(run, present, n, Duration.ofMillis(delayMillis));
            }
            ControlCommand acknowledged = run.propose();
            run.advance(COMMIT);
            Set<HostId> lost = chosen(present, choice);
            run.losePower(lost);
            run.advance(RECOVERY);
            String what = "lost disks of " + lost;
            assertTrue(run.leader().isPresent(), what + ": no leader");
            assertTrue(holds(run.leader().get(), acknowledged), what + ": a change is lost");
        }
    }

    static Stream<Arguments> plannedReplacements() {
        return Stream.of(Arguments.of(3, 1), Arguments.of(4, 1), Arguments.of(5, 2))
                .flatMap(
                        group ->
                                Stream.of(1_500, 2_000, 3_000, 4_000, 6_000)
                                        .map(
                                                millis ->
                                                        Arguments.of(
                                                                group.get()[0],
                                                                group.get()[1],
                                                                millis)));
    }

    /**
     * Guards against a stopped host that the group still counts although its successor has caught
     * up. The successor starts before the host stops.
     */
    @ParameterizedTest(name = "{0} hosts, {1} lost disks, host stops {2} ms after its successor")
    @MethodSource("plannedReplacements")
    void electsLeaderAfterPlannedReplacement(int hosts, int disks, int stopMillis) {
        for (int choice : choices(hosts, disks)) {
            List<HostId> names = names(hosts);
            ReplacementRun run = ReplacementRun.start(names);
            run.advance(STARTUP);
            List<HostId> present = new ArrayList<>(names);
            HostId successor = HostId.of("n0");
            run.advance(PROCESS_START);
            run.startEmpty(successor);
            run.advance(Duration.ofMillis(stopMillis));
            run.resign(present.get(0));
            run.advance(STOP_TIME);
            run.depart(present.set(0, successor));
            Duration left = CATCH_UP.minusMillis(stopMillis).minus(STOP_TIME);
            run.advance(left.isNegative() ? Duration.ZERO : left);
            Set<HostId> lost = chosen(present, choice);
            run.losePower(lost);
            run.advance(RECOVERY);
            assertTrue(run.leader().isPresent(), "lost disks of " + lost + ": no leader");
        }
    }

    /** Replaces the host at a position of the list by a new one, which then catches up. */
    private static void replace(
            ReplacementRun run, List<HostId> present, int position, Duration delay) {
        HostId successor = HostId.of("n" + position);
        run.depart(present.get(position));
        run.advance(delay.plus(PROCESS_START));
        run.startEmpty(successor);
        run.advance(CATCH_UP.minus(PROCESS_START));
        present.set(position, successor);
    }

    private static boolean holds(ScheduleHost leader, ControlCommand command) {
        ConsensusLog log = leader.state().orElseThrow().log();
        return log.entriesFrom(log.baseIndex() + 1, Integer.MAX_VALUE, Long.MAX_VALUE).stream()
                .map(entry -> entry.content().loaded())
                .anyMatch(
                        content ->
                                content instanceof LogContent.CommandContent stored
                                        && stored.command().equals(command));
    }

    private static List<HostId> names(int hosts) {
        return IntStream.range(0, hosts).mapToObj(n -> HostId.of("c" + n)).toList();
    }

    /** Returns each choice of some hosts among others as a set of bits. */
    private static int[] choices(int hosts, int chosen) {
        return IntStream.range(0, 1 << hosts)
                .filter(bits -> Integer.bitCount(bits) == chosen)
                .toArray();
    }

    private static Set<HostId> chosen(List<HostId> hosts, int choice) {
        return IntStream.range(0, hosts.size())
                .filter(n -> (choice >> n & 1) == 1)
                .mapToObj(hosts::get)
                .collect(Collectors.toSet());
    }
}
