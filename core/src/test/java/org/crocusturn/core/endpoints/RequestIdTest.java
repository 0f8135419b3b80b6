package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.CrocusturnException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer that is used for a request which it does not name. */
class RequestIdTest {
    @ParameterizedTest
    @CsvSource({"a-1, a-1, true", "a-1, a-2, false", "a-1, a-11, false", "a-1, A-1, false"})
    void acceptsOnlyItsOwnName(String id, String named, boolean accepted) {
        RequestId request = new RequestId(id);
        if (accepted) {
            assertDoesNotThrow(() -> request.requireNamedBy(named));
        } else {
            assertThrows(CrocusturnException.class, () -> request.requireNamedBy(named));
        }
    }

    /** Guards against connections or processes whose ids are the same. */
    @ParameterizedTest
    @ValueSource(ints = {1, 100})
    void generatorsShareNoId(int count) {
        long distinct =
                Stream.of(new RequestIds(), new RequestIds())
                        .flatMap(ids -> IntStream.range(0, count).mapToObj(n -> ids.next()))
                        .distinct()
                        .count();
        assertEquals(2L * count, distinct);
    }
}
