package org.crocusturn.core.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lost, duplicated or reordered elements, and against growth beyond the capacity.
 */
@Param(name = "element", gen = IntGen.class, conf = "1:3")
public class BoundedRingTest {
    private static final int LINCHECK_CAPACITY = 2;

    private final BoundedRing<Integer> mRing = BoundedRing.withCapacity(LINCHECK_CAPACITY);

    /** Offers an element under Lincheck. */
    @Operation
    public boolean offer(int element) {
        return mRing.offer(element);
    }

    /** Takes an element under Lincheck without waiting. */
    @Operation
    public Optional<Integer> poll() throws InterruptedException {
        return mRing.poll(0);
    }

    @Test
    void isLinearizableUnderStress() {
        new StressOptions().iterations(20).invocationsPerIteration(500).check(getClass());
    }

    @Test
    void isLinearizableInModelChecking() {
        new ModelCheckingOptions().iterations(10).invocationsPerIteration(500).check(getClass());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 64})
    void keepsOrderAndRefusesWhenFull(int capacity) throws InterruptedException {
        BoundedRing<Integer> ring = BoundedRing.withCapacity(capacity);
        for (int round = 0; round < 3; round++) {
            for (int n = 0; n < capacity; n++) {
                assertTrue(ring.offer(n));
            }
            assertFalse(ring.offer(capacity), "a full ring rejects elements");
            for (int n = 0; n < capacity; n++) {
                assertEquals(Optional.of(n), ring.poll(0));
            }
            assertEquals(Optional.empty(), ring.poll(0));
        }
    }
}
