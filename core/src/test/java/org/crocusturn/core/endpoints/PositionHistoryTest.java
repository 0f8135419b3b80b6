package org.crocusturn.core.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.crocusturn.core.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.pcollections.PVector;

/** Guards against reads that miss a commit older than their maximum age. */
class PositionHistoryTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static PositionHistory history() {
        return PositionHistory.startingAt(position(10), 1_000 * NANOS_PER_MILLI)
                .with(position(11), 1_100 * NANOS_PER_MILLI)
                .with(position(12), 1_200 * NANOS_PER_MILLI)
                .with(position(13), 1_202 * NANOS_PER_MILLI)
                .with(position(14), 1_300 * NANOS_PER_MILLI);
    }

    @ParameterizedTest
    @CsvSource({"900, 10", "1000, 10", "1099, 10", "1100, 11", "1200, 13", "1299, 13", "9999, 14"})
    void returnsThePositionAtATime(long atMillis, long index) {
        assertEquals(position(index), history().asOf(atMillis * NANOS_PER_MILLI));
    }

    /** Guards against merged entries that take the later of their acknowledgement times. */
    @Test
    void neverReturnsAPositionThatIsTooOld() {
        PositionHistory history = PositionHistory.startingAt(position(1), 0);
        for (long i = 2; i < 2_000; i++) {
            history = history.with(position(i), i * NANOS_PER_MILLI);
            assertTrue(history.asOf(i * NANOS_PER_MILLI).compareTo(position(i)) >= 0, "at " + i);
            assertEquals(position(i), history.latest());
        }
        assertTrue(history.entries().size() < 500, "too many entries: " + history.entries().size());
    }

    static Stream<Arguments> progress() {
        return Stream.of(
                Arguments.of("the copy has the position", 14L, 0L, 1_300L, true),
                Arguments.of("the commit is more recent than the lag", 10L, 300L, 1_310L, false),
                Arguments.of("the commit is older than the lag", 10L, 50L, 1_400L, true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("progress")
    void predictsArrival(
            String description, long index, long lagMillis, long nowMillis, boolean reaches) {
        CopyProgress copy =
                new CopyProgress(
                        position(index), lagMillis * NANOS_PER_MILLI, nowMillis * NANOS_PER_MILLI);
        assertEquals(
                reaches,
                copy.isExpectedToHave(position(14), history(), nowMillis * NANOS_PER_MILLI),
                description);
    }

    @Test
    void raisesTheLagAtOnce() {
        CopyProgress copy =
                CopyProgress.UNKNOWN.withReport(position(10), history(), 1_400 * NANOS_PER_MILLI);
        assertEquals(300 * NANOS_PER_MILLI, copy.lagNanos());
        assertTrue(
                copy.withReport(position(14), history(), 1_401 * NANOS_PER_MILLI).lagNanos()
                        < 300 * NANOS_PER_MILLI);
    }

    /**
     * Guards against a replica that gets no more reads after it lagged. In a simulated day of the
     * Delft site two replicas lagged for 6 s, and reads overloaded the primary for the next 25 s.
     */
    @ParameterizedTest
    @CsvSource({"3000, 100, false", "3000, 400, false", "3000, 1000, true", "12000, 2000, true"})
    void readsAgainFromACopyThatLagged(long ageMillis, long laterMillis, boolean expected) {
        long now = 20_000 + laterMillis;
        PositionHistory history = PositionHistory.startingAt(position(1), 0);
        for (long i = 2; i <= now / 100; i++) {
            history = history.with(position(i), i * 100 * NANOS_PER_MILLI);
        }
        CopyProgress copy =
                CopyProgress.UNKNOWN.withMissingPosition(
                        ageMillis * NANOS_PER_MILLI, 20_000 * NANOS_PER_MILLI);
        LogPosition needed = history.asOf((now - 1_500) * NANOS_PER_MILLI);
        assertEquals(expected, copy.isExpectedToHave(needed, history, now * NANOS_PER_MILLI));
    }

    /** Lookups of a history. */
    enum Lookup {
        AS_OF {
            @Override
            void find(PositionHistory history, long index) {
                assertEquals(position(index), history.asOf(index * 10 * NANOS_PER_MILLI));
            }
        },
        ACKNOWLEDGED {
            @Override
            void find(PositionHistory history, long index) {
                assertEquals(
                        index * 10 * NANOS_PER_MILLI, history.acknowledgedNanos(position(index)));
            }
        },
        NEXT_ACKNOWLEDGED {
            @Override
            void find(PositionHistory history, long index) {
                assertEquals(
                        OptionalLong.of(index * 10 * NANOS_PER_MILLI),
                        history.nextAcknowledgedNanos(position(index - 1)));
            }
        };

        abstract void find(PositionHistory history, long index);
    }

    /**
     * Guards against lookups that read the whole history. Each waiting read looks for the position
     * that it needs, and a leaseholder beside 450 waiting calls used all of its processor for that.
     */
    @ParameterizedTest
    @EnumSource
    void readsFewEntriesInALookup(Lookup lookup) {
        PositionHistory history = PositionHistory.startingAt(position(0), 0);
        for (long i = 1; i < 1_000; i++) {
            history = history.with(position(i), i * 10 * NANOS_PER_MILLI);
        }
        for (long index : new long[] {1, 500, 999}) {
            AtomicInteger read = new AtomicInteger();
            lookup.find(new PositionHistory(counting(history.entries(), read)), index);
            assertTrue(read.get() <= 12, "entries read: " + read);
        }
    }

    /** Returns entries that count the calls that read one of them, and fail if all are read. */
    @SuppressWarnings("unchecked") // the proxy has the type of the entries
    private static PVector<PositionHistory.Entry> counting(
            PVector<PositionHistory.Entry> entries, AtomicInteger read) {
        return (PVector<PositionHistory.Entry>)
                Proxy.newProxyInstance(
                        PositionHistoryTest.class.getClassLoader(),
                        new Class<?>[] {PVector.class},
                        (proxy, method, arguments) -> {
                            boolean one = method.getName().equals("get");
                            boolean size = method.getName().equals("size");
                            read.addAndGet(one ? 1 : size ? 0 : entries.size());
                            return method.invoke(entries, arguments);
                        });
    }

    private static LogPosition position(long index) {
        return LogPosition.of(2, index);
    }
}
