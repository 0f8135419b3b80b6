package org.crocusturn.standin.local;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class FreePortsTest {
    /** The first port that Linux assigns to outgoing connections by default. */
    private static final int FIRST_OUTGOING_PORT = 32_768;

    /**
     * Guards against ports that an outgoing connection can take before the process that was given
     * them listens on them.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 40, 200})
    void portsAreDistinctAndNotForOutgoingConnections(int count) {
        List<Integer> ports =
                FreePorts.find(count).stream().map(InetSocketAddress::getPort).distinct().toList();
        assertEquals(count, ports.size());
        assertTrue(ports.stream().allMatch(p -> p < FIRST_OUTGOING_PORT), ports::toString);
    }
}
