package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against exceeding the connection, statement or transaction limits of a database. */
class ConnectionPoolTest {
    @ParameterizedTest
    @CsvSource({"2, 16, 8, 7", "5, 50, 25, 24", "2, 5, 2, 1", "2, 1, 1, 1"})
    void takesHalfOfTheConnections(
            int slots, int connections, int expectedConnections, int expectedTransactions) {
        CopyLimits limits = CopyLimits.ofDatabase(slots, connections);
        assertEquals(expectedConnections, limits.connections());
        assertEquals(expectedTransactions, limits.transactions());
    }

    @ParameterizedTest
    @CsvSource({"1, 2, 4", "2, 5, 25", "3, 1, 1"})
    void staysWithinItsLimits(long seed, int slots, int connections) {
        Random random = new Random(seed);
        CopyLimits limits = new CopyLimits(slots, connections);
        ConnectionPool pool = ConnectionPool.empty(limits);
        for (long i = 1; i < 3_000; i++) {
            int size = pool.size();
            long any =
                    size == 0 ? 0 : pool.connections().skip(random.nextInt(size)).findAny().get();
            int choice = random.nextInt(6);
            if (choice == 0 && pool.canOpen()) {
                pool = pool.withOpening(i);
            } else if (choice == 1 && pool.hasIdle() && pool.freeSlots() > 0) {
                pool = pool.withRunning(pool.idle().orElseThrow());
            } else if (choice == 2
                    && pool.hasIdle()
                    && pool.freeSlots() > 0
                    && pool.canBeginTransaction()) {
                pool = pool.withPinnedRunning(pool.idle().orElseThrow());
            } else if (choice == 3 && size > 0) {
                pool = pool.withIdle(any);
            } else if (choice == 4) {
                pool = pool.without(any);
            }
            String context = "seed " + seed + ", step " + i;
            assertEquals(true, pool.size() <= connections && pool.running() <= slots, context);
            assertEquals(true, pool.pinned() <= limits.transactions(), context);
            assertEquals(pool.hasIdle(), pool.idle().isPresent(), context);
            int counted = pool.opening() + pool.running() + pool.idleConnections().size();
            assertEquals(pool.size(), counted, context);
        }
    }
}
