package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against peers that end the process by sending more than the memory outside the heap. */
class ChannelFailuresTest {
    private static final Error REFUSED_BUFFER =
            new OutOfMemoryError(
                    "Cannot reserve 4194304 bytes of direct buffer memory"
                            + " (allocated: 63000000, limit: 67108864)");

    static Stream<Arguments> failures() {
        return Stream.of(
                Arguments.of(REFUSED_BUFFER, 0),
                Arguments.of(new IllegalStateException(REFUSED_BUFFER), 0),
                Arguments.of(new IllegalStateException("malformed"), 0),
                Arguments.of(new OutOfMemoryError("Java heap space"), 1),
                Arguments.of(new IllegalStateException(new StackOverflowError()), 1),
                Arguments.of(new NoClassDefFoundError("X"), 1));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void reportsOnlyErrorsOfTheProcess(Throwable failure, int reports) throws Exception {
        List<Throwable> reported = new ArrayList<>();
        Thread thread = new Thread(() -> ChannelFailures.report(failure));
        thread.setUncaughtExceptionHandler((t, e) -> reported.add(e));
        thread.start();
        thread.join();
        assertEquals(reports, reported.size());
    }
}
