package org.crocusturn.core.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reservations beyond the limit, and bytes that are never free again. */
@Param(name = "bytes", gen = IntGen.class, conf = "1:4")
public class ByteBudgetTest {
    private static final int LINCHECK_LIMIT = 6;

    private final ByteBudget mBudget = ByteBudget.of(LINCHECK_LIMIT);

    /** Reserves bytes under Lincheck. */
    @Operation
    public boolean tryReserve(@Param(name = "bytes") int bytes) {
        return mBudget.tryReserve(bytes);
    }

    /** Reserves bytes beyond the limit under Lincheck. */
    @Operation
    public void reserve(@Param(name = "bytes") int bytes) {
        mBudget.reserve(bytes);
    }

    /** Releases bytes under Lincheck. */
    @Operation
    public void release(@Param(name = "bytes") int bytes) {
        mBudget.release(bytes);
    }

    /** Returns the reserved bytes under Lincheck. */
    @Operation
    public long usedBytes() {
        return mBudget.usedBytes();
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
    @CsvSource({
        "0, 10, 10, true", "0, 11, 10, false", "4, 6, 10, true", "4, 7, 10, false",
        "4, 1, 4, false", "4, 1, 5, true", "12, 0, 10, false", "0, 9223372036854775807, 10, false",
        "5, 9223372036854775807, 10, false", "0, 10, 9223372036854775807, true"
    })
    void reservesUpToTheLimit(long used, long bytes, long limit, boolean expected) {
        ByteBudget budget = ByteBudget.of(10);
        budget.reserve(used);
        assertEquals(expected, budget.tryReserve(bytes, limit));
        assertEquals(expected ? used + bytes : used, budget.usedBytes());
        assertEquals(budget.usedBytes() >= 10, budget.isExhausted());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 10, 1_000})
    void hasRoomAgainAfterARelease(long bytes) {
        ByteBudget budget = ByteBudget.of(bytes);
        for (int n = 0; n < 100; n++) {
            assertEquals(true, budget.tryReserve(bytes));
            assertEquals(false, budget.tryReserve(1));
            budget.release(bytes);
        }
        assertEquals(0, budget.usedBytes());
    }

    /** Guards against a snapshot that is larger than the limit and never taken. */
    @ParameterizedTest
    @CsvSource({"0, 10, true", "0, 11, true", "1, 9, true", "1, 10, false", "10, 11, false"})
    void reservesMoreThanTheLimitIfNothingElseIsReserved(long used, long bytes, boolean expected) {
        ByteBudget budget = ByteBudget.of(10);
        budget.reserve(used);
        assertEquals(expected, budget.tryReserveOrSole(bytes));
        assertEquals(expected ? used + bytes : used, budget.usedBytes());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -1})
    void rejectsAnEmptyBudget(long limit) {
        assertThrows(IllegalArgumentException.class, () -> ByteBudget.of(limit));
    }
}
