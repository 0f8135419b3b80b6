package org.crocusturn.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a planned stop that interrupts requests or never ends. */
class LifecycleTest {
    private static final Duration BALANCER_DELAY = Duration.ofSeconds(1);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(5);

    @ParameterizedTest
    @CsvSource({
        "LEAVING, 999, 3, LEAVING",
        "LEAVING, 1000, 3, DRAINING",
        "DRAINING, 1000, 3, DRAINING",
        "DRAINING, 0, 0, STOPPED",
        "DRAINING, 5000, 3, STOPPED",
        "SERVING, 9000, 0, SERVING"
    })
    void advancesPhase(Phase phase, long elapsedMillis, int remainingWork, Phase expected) {
        Lifecycle before = new Lifecycle(phase, 100);
        long now = 100 + Duration.ofMillis(elapsedMillis).toNanos();
        assertEquals(
                expected,
                before.advancedTo(now, BALANCER_DELAY, remainingWork, DRAIN_TIMEOUT).phase());
    }
}
