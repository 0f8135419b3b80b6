package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against connections or processes whose request ids are the same. */
class RequestIdsTest {
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
