package org.crocusturn.core.controlhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.ControlCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an acknowledged change that is lost, or is not readable in time, after all hosts
 * lost power at any step of the change and as many disks as tolerated were lost with it.
 */
class PowerLossOfAllHostsTest {
    private static final Duration STARTUP = Duration.ofSeconds(6);

    /** Time after its start from which a host no longer counts as lost. */
    private static final Duration CATCH_UP = Duration.ofSeconds(4);

    /** Time from the return of the last host until the state is readable. */
    private static final Duration RECOVERY = Duration.ofSeconds(3);

    /** Longer than the steps of a change, which take 1 to 3 ms each. */
    private static final int MAX_STEP_MILLIS = 12;

    /** Pause between hosts that return one by one; longer than an election timeout. */
    private static final Duration PAUSE = Duration.ofMillis(700);

    /** Absence of hosts that return after the others; a silent voter is replaced within it. */
    private static final Duration ABSENCE = Duration.ofSeconds(4);

    /** The order in which hosts return. */
    enum ReturnOrder {
        TOGETHER,
        LOST_DISKS_FIRST,
        LOST_DISKS_LAST,
        ONE_BY_ONE,
        ONE_BY_ONE_REVERSED;

        Duration downTime(int position, int hosts, boolean lostDisk) {
            return switch (this) {
                case TOGETHER -> Duration.ZERO;
                case LOST_DISKS_FIRST -> lostDisk ? Duration.ZERO : ABSENCE;
                case LOST_DISKS_LAST -> lostDisk ? ABSENCE : Duration.ZERO;
                case ONE_BY_ONE -> PAUSE.multipliedBy(position);
                case ONE_BY_ONE_REVERSED -> PAUSE.multipliedBy(hosts - 1L - position);
            };
        }

        Duration longestDownTime(int hosts) {
            return Collections.max(List.of(ABSENCE, PAUSE.multipliedBy(hosts)));
        }
    }

    /**
     * The three control hosts that the settings name. They are at most a few seconds older than the
     * start of a process, so a host that was replaced earlier is not among them.
     */
    enum Seeds {
        OLDEST,
        LOST_DISKS;

        Set<HostId> choose(List<HostId> present, Set<HostId> lostDisks) {
            Stream<HostId> first = this == LOST_DISKS ? lostDisks.stream() : Stream.empty();
            return Stream.concat(first, present.stream())
                    .distinct()
                    .limit(3)
                    .collect(Collectors.toSet());
        }
    }

    static Stream<Arguments> losses() {
        return Stream.of(group(3, 1), group(4, 1), group(5, 2), group(6, 2))
                .flatMap(Function.identity());
    }

    private static Stream<Arguments> group(int hosts, int disks) {
        return Stream.of(ReturnOrder.values())
                .flatMap(
                        order ->
                                IntStream.of(0, 1, 2 * disks)
                                        .mapToObj(
                                                replaced ->
                                                        Arguments.of(
                                                                hosts, disks, replaced, order)));
    }

    @ParameterizedTest(name = "{0} hosts, {1} lost disks, {2} replaced hosts, return {3}")
    @MethodSource("losses")
    void keepsAcknowledgedChange(int hosts, int disks, int replaced, ReturnOrder order) {
        int[] choices =
                IntStream.range(0, 1 << hosts)
                        .filter(bits -> Integer.bitCount(bits) == disks)
                        .toArray();
        for (int n = 0; n < choices.length; n++) {
            for (Seeds seeds : Seeds.values()) {
                int step = (5 * n + 6 * seeds.ordinal() + order.ordinal()) % MAX_STEP_MILLIS;
                int next = choices[(n + step + 1) % choices.length];
                run(hosts, replaced, new int[] {choices[n], next}, step, order, seeds);
            }
        }
    }

    /** Loses power twice, each time with other disks, as soon as returned hosts count again. */
    private static void run(
            int hosts, int replaced, int[] choices, int step, ReturnOrder order, Seeds seeds) {
        List<HostId> names = IntStream.range(0, hosts).mapToObj(n -> HostId.of("c" + n)).toList();
        ReplacementRun run = ReplacementRun.start(names);
        run.advance(STARTUP);
        List<HostId> present = new ArrayList<>(names);
        for (int n = 0; n < replaced; n++) {
            HostId successor = HostId.of("n" + n);
            run.setSeeds(Seeds.OLDEST.choose(present, Set.of()));
            run.depart(present.get(n));
            run.startEmpty(successor);
            run.advance(CATCH_UP);
            present.set(n, successor);
        }
        List<ControlCommand> acknowledged = new ArrayList<>();
        for (int choice : choices) {
            String what = Arrays.toString(choices) + ", step " + step + ", seeds " + seeds + ": ";
            assertTrue(run.leader().isPresent(), what + "no leader before the loss");
            ControlCommand earlier = run.propose();
            run.advance(Duration.ofMillis(200));
            assertTrue(run.isAcknowledged(earlier), what + "a change is not acknowledged");
            acknowledged.add(earlier);
            ControlCommand last = run.propose();
            run.advance(Duration.ofMillis(step));
            if (run.isAcknowledged(last)) {
                acknowledged.add(last);
            }
            Set<HostId> lost = chosen(present, choice);
            run.setSeeds(seeds.choose(present, lost));
            run.losePower(
                    lost,
                    host -> order.downTime(present.indexOf(host), hosts, lost.contains(host)));
            run.advance(order.longestDownTime(hosts).plus(RECOVERY));
            assertTrue(run.leader().isPresent(), what + "no leader after the loss");
            ScheduleHost leader = run.leader().get();
            assertTrue(holdsInOrder(leader, acknowledged), what + "a change is lost");
            run.advance(CATCH_UP.minus(RECOVERY));
            assertEquals(List.of(), recovering(run), what + "hosts that have not recovered");
        }
    }

    private static boolean holdsInOrder(ScheduleHost leader, List<ControlCommand> commands) {
        ConsensusLog log = leader.state().orElseThrow().log();
        List<ControlCommand> stored =
                log.entriesFrom(log.baseIndex() + 1, Integer.MAX_VALUE, Long.MAX_VALUE).stream()
                        .map(entry -> entry.content().loaded())
                        .filter(LogContent.CommandContent.class::isInstance)
                        .map(content -> ((LogContent.CommandContent) content).command())
                        .filter(new HashSet<>(commands)::contains)
                        .toList();
        return stored.equals(commands);
    }

    private static List<HostId> recovering(ReplacementRun run) {
        return run.present().stream()
                .filter(host -> !host.isDiskIntact())
                .map(ScheduleHost::host)
                .toList();
    }

    private static Set<HostId> chosen(List<HostId> hosts, int choice) {
        return IntStream.range(0, hosts.size())
                .filter(n -> (choice >> n & 1) == 1)
                .mapToObj(hosts::get)
                .collect(Collectors.toSet());
    }
}
