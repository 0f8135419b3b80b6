package org.crocusturn.daemon.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.daemon.controlhosts.ProtobufLogCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a restart that decodes a state other than the stored one. */
class LogRecordCodecTest {
    private static final ProtobufLogCodec CODEC = ProtobufLogCodec.create();

    static Stream<LogEntry> entries() {
        return WireSamples.entries();
    }

    @ParameterizedTest
    @MethodSource("entries")
    void roundTripsEntries(LogEntry entry) {
        assertEquals(entry, CODEC.decodeEntry(CODEC.encodeEntry(entry)));
    }

    @Test
    void encodesEqualSnapshotsToEqualBytes() {
        byte[] bytes = CODEC.encodeSnapshot(WireSamples.snapshot());
        assertEquals(WireSamples.snapshot(), CODEC.decodeSnapshot(bytes));
        assertArrayEquals(bytes, CODEC.encodeSnapshot(CODEC.decodeSnapshot(bytes)));
    }

    /** Guards against a truncated snapshot that is decoded as a smaller state. */
    @Test
    void refusesTruncatedSnapshots() {
        byte[] bytes = CODEC.encodeSnapshot(WireSamples.snapshot());
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThrows(CrocusturnException.class, () -> CODEC.decodeSnapshot(truncated));
        }
    }

    @Property(tries = 1_000, seed = "1")
    void refusesRandomBytes(@ForAll byte[] bytes) {
        assertThrows(CrocusturnException.class, () -> decodeBoth(bytes));
    }

    private static void decodeBoth(byte[] bytes) {
        CODEC.decodeEntry(bytes);
        CODEC.decodeSnapshot(bytes);
    }
}
