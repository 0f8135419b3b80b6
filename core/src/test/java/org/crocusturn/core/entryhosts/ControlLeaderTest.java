package org.crocusturn.core.entryhosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against two holders of one lease, writes acknowledged at a superseded term or lost by a
 * promotion, and workspaces above or below their rate, under random faults.
 */
class ControlLeaderTest {
    private static final long SECOND = 1_000 * SimulatedWorld.MS;
    private static final int SEEDS = 60;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    /** Guards against a violation of an invariant; the seed is in the name of the test. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void keepsInvariantsUnderFaults(long seed) {
        SimulatedWorld world = new SimulatedWorld(seed, false, UnaryOperator.identity());
        assertEquals(List.of(), world.run(30 * SECOND), "seed " + seed);
        assertTrue(world.mAcks > 0 && world.mSpends > 0, "seed " + seed + " did nothing");
    }

    /** Guards against a leader that withholds tokens from a workspace below its rate. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void servesWorkspacesBelowTheirRate(long seed) {
        SimulatedWorld world = new SimulatedWorld(seed, true, UnaryOperator.identity());
        world.run(4 * SECOND);
        world.mLongestWait = 0;
        assertEquals(List.of(), world.run(30 * SECOND), "seed " + seed);
        assertTrue(
                world.mSpends > 1_000 && world.mLongestWait < 2 * SECOND,
                () -> "waited " + world.mLongestWait / SimulatedWorld.MS + " ms");
    }

    /** Names faults that the checks above must find. */
    enum Fault {
        NEW_LEADER_DOES_NOT_WAIT {
            @Override
            LeaderState apply(LeaderState state) {
                LeaseTable table = state.leases();
                for (var group : state.control().groups().values()) {
                    table = table.with(GroupLease.of(group, state.gainedNanos()));
                }
                return state.withLeases(table);
            }
        },
        BUCKETS_START_FULL {
            @Override
            LeaderState apply(LeaderState state) {
                return state.withRates(
                        RateAuthority.startingAt(
                                state.control().configuration(),
                                state.gainedNanos() - 100 * SECOND));
            }
        },
        BUCKETS_FILL_BEFORE_OLD_GRANTS_END {
            @Override
            LeaderState apply(LeaderState state) {
                return state.withRates(
                        RateAuthority.startingAt(
                                state.control().configuration(), state.gainedNanos()));
            }
        };

        abstract LeaderState apply(LeaderState state);
    }

    /** Guards against checks that cannot fail. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void findsFaults(Fault fault) {
        long found =
                seeds().filter(
                                s ->
                                        !new SimulatedWorld(s, false, fault::apply)
                                                .run(30 * SECOND)
                                                .isEmpty())
                        .count();
        assertTrue(found > 0, fault + " was not found with any seed");
        System.out.println(fault + " found with " + found + " of " + SEEDS + " seeds");
    }
}
