package org.crocusturn.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Set;
import org.crocusturn.core.platform.Phase;
import org.crocusturn.core.ring.SteadyClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a process that ends at a planned stop although it serves sessions, because the
 * thread that counts them had not done so since the drain began. Callers whose statements ran got
 * no answer.
 */
class LifecycleDutyTest {
    private static final Duration NO_DELAY = Duration.ZERO;
    private static final Duration DRAIN_LIMIT = Duration.ofMinutes(1);

    private Phase mPhase = Phase.STARTING;

    @ParameterizedTest
    @CsvSource({
        // reports before the drain, reports during it, phase after them
        "'', '', DRAINING",
        "sessions 0, '', DRAINING",
        "sessions 0 leases 0, '', DRAINING",
        "'', sessions 0, DRAINING",
        "'', leases 0, DRAINING",
        "sessions 0, leases 0, DRAINING",
        "'', sessions 2 leases 0, DRAINING",
        "sessions 2 leases 1, sessions 0 leases 0, STOPPED",
        "'', leases 1 sessions 0 leases 0, STOPPED"
    })
    void stopsOnceAllComponentsHaveNoWorkLeft(String before, String during, Phase expected) {
        LifecycleDuty duty = start(DRAIN_LIMIT);
        duty.onEvent(new LifecycleEvent.StateReceived());
        duty.onEvent(new LifecycleEvent.StopRequested());
        report(duty, before, Phase.LEAVING);
        tick(duty, 0);
        assertEquals(Phase.DRAINING, mPhase);
        report(duty, before, Phase.LEAVING);
        report(duty, during, Phase.DRAINING);
        tick(duty, 0);
        assertEquals(expected, mPhase);
    }

    /** A component that never counts its work must not keep the process beyond the limit. */
    @ParameterizedTest
    @CsvSource({"59, DRAINING", "61, STOPPED"})
    void stopsAtTheDrainLimit(long seconds, Phase expected) {
        LifecycleDuty duty = start(DRAIN_LIMIT);
        duty.onEvent(new LifecycleEvent.StateReceived());
        duty.onEvent(new LifecycleEvent.StopRequested());
        tick(duty, 0);
        tick(duty, seconds);
        assertEquals(expected, mPhase);
    }

    private LifecycleDuty start(Duration drainLimit) {
        return LifecycleDuty.create(
                NO_DELAY, drainLimit, Set.of("sessions", "leases"), phase -> mPhase = phase);
    }

    private static void tick(LifecycleDuty duty, long seconds) {
        duty.onTimer(SteadyClock.nanoTime() + Duration.ofSeconds(seconds).toNanos());
    }

    private static void report(LifecycleDuty duty, String reports, Phase phase) {
        String[] words = reports.split(" ");
        for (int i = 0; i + 1 < words.length; i += 2) {
            duty.onEvent(
                    new LifecycleEvent.RemainingWorkChanged(
                            words[i], Integer.parseInt(words[i + 1]), phase));
        }
    }
}
