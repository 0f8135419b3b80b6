package org.crocusturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against lost or reordered elements. */
class PersistentQueueTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void behavesLikeDeque(long seed) {
        Random random = new Random(seed);
        ArrayDeque<Integer> expected = new ArrayDeque<>();
        PersistentQueue<Integer> queue = PersistentQueue.empty();
        for (int i = 0; i < 2_000; i++) {
            int choice = random.nextInt(20);
            if (choice < 9) {
                expected.addLast(i);
                queue = queue.plus(i);
            } else if (choice < 11) {
                expected.addFirst(i);
                queue = queue.plusFirst(i);
            } else {
                expected.pollFirst();
                queue = queue.withoutFirst();
            }
            assertEquals(new ArrayList<>(expected), queue.toList(), "seed " + seed);
            assertEquals(expected.size(), queue.size(), "seed " + seed);
        }
    }
}
