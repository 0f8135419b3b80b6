package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a rehearsal that serves nothing, so that a host which gets a lease under load
 * compiles its code while calls wait.
 */
class GroupRehearsalTest {
    @ParameterizedTest
    @ValueSource(ints = {100, 600, 3_000})
    void servesItsCalls(int operations) {
        GroupRehearsal rehearsal = new GroupRehearsal();
        rehearsal.run(operations);
        // Each third operation is a transaction of two calls.
        assertTrue(rehearsal.served() >= operations, rehearsal.served() + " calls served");
        rehearsal
                .refused()
                .forEach(
                        (message, count) ->
                                assertTrue(
                                        count <= operations / 20, count + " failures: " + message));
    }
}
