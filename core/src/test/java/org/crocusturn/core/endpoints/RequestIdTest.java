package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.crocusturn.core.CrocusturnException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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
}
