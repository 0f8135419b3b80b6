package org.crocusturn.core.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.crocusturn.core.WorkspaceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a workspace that starves others, and against requests that wait past their
 * deadline.
 */
class FairQueueTest {
    private static final WorkspaceId GREEDY = WorkspaceId.of("greedy");
    private static final WorkspaceId SMALL = WorkspaceId.of("small");

    @ParameterizedTest
    @CsvSource({
        // cost of a request of GREEDY, cost of a request of SMALL, order of service
        "1, 1, g0 s0 g1 s1 g2 g3",
        "2, 1, s0 g0 s1 g1 g2 g3",
        "3, 1, s0 s1 g0 g1 g2 g3",
        "1, 2, g0 g1 s0 g2 g3 s1"
    })
    void sharesServiceByCost(long greedyCost, long smallCost, String order) {
        FairQueue<String> queue = FairQueue.empty();
        for (int i = 0; i < 4; i++) {
            queue = queue.with(GREEDY, "g" + i, greedyCost, 100);
        }
        for (int i = 0; i < 2; i++) {
            queue = queue.with(SMALL, "s" + i, smallCost, 100);
        }
        assertEquals(order, String.join(" ", takeAll(queue, v -> true)));
    }

    @ParameterizedTest
    @CsvSource({"g, s0 s1", "s, g0 g1", "x, g0 s0 g1 s1"})
    void skipsIneligibleWorkspaces(String blocked, String order) {
        FairQueue<String> queue = FairQueue.empty();
        for (int i = 0; i < 2; i++) {
            queue = queue.with(GREEDY, "g" + i, 1, 100).with(SMALL, "s" + i, 1, 100);
        }
        assertEquals(order, String.join(" ", takeAll(queue, v -> !v.startsWith(blocked))));
    }

    @ParameterizedTest
    @CsvSource({"9, ''", "10, 'g0'", "20, 'g0 g1 s0'"})
    void dropsRequestsAtTheDeadline(long now, String dropped) {
        FairQueue<String> queue =
                FairQueue.<String>empty()
                        .with(GREEDY, "g0", 1, 10)
                        .with(GREEDY, "g1", 1, 20)
                        .withFirst(GREEDY, "g2", 1, 30)
                        .with(SMALL, "s0", 1, 15);
        FairQueue.Expired<String> expired = queue.expire(now);
        assertEquals(dropped, String.join(" ", expired.dropped()));
        assertEquals(4 - expired.dropped().size(), expired.remaining().size());
        assertEquals("g2", takeAll(expired.remaining(), v -> true).get(0));
    }

    private static List<String> takeAll(FairQueue<String> queue, Predicate<String> eligible) {
        List<String> values = new ArrayList<>();
        Optional<FairQueue.Taken<String>> taken = queue.take(eligible);
        while (taken.isPresent()) {
            values.add(taken.get().value());
            taken = taken.get().remaining().take(eligible);
        }
        return values;
    }
}
