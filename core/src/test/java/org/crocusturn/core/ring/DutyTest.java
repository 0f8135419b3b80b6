package org.crocusturn.core.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a duty whose thread ends at an exception of one event, and against one that
 * continues, or whose thread ends unnoticed, after a failure that can leave its state half changed.
 */
class DutyTest {
    private static final long TIMEOUT_SECONDS = 10;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    /** Code of a duty in which a failure occurs. */
    private enum Place {
        EVENT,
        TIMER,
        FAILURE_HANDLER
    }

    /** Handler that fails for some events and for some calls of its timer. */
    private static final class FailingHandler implements DutyHandler<Runnable> {
        private final BlockingQueue<Runnable> mTimerCalls = new LinkedBlockingQueue<>();

        @Override
        public void onEvent(Runnable event) {
            event.run();
        }

        @Override
        public long onTimer(long nowNanos) {
            Runnable call = mTimerCalls.poll();
            if (call != null) {
                call.run();
            }
            return nowNanos + 1_000_000;
        }
    }

    /** Failure handler that records what it gets, and can fail itself. */
    private static final class Recorder implements FailureHandler {
        private final BlockingQueue<RuntimeException> mExceptions = new LinkedBlockingQueue<>();
        private final BlockingQueue<Throwable> mEnds = new LinkedBlockingQueue<>();
        private final BlockingQueue<Runnable> mCalls = new LinkedBlockingQueue<>();

        @Override
        public void onException(RuntimeException failure) {
            mExceptions.add(failure);
            Runnable call = mCalls.poll();
            if (call != null) {
                call.run();
            }
        }

        @Override
        public void onEnd(Thread thread, Throwable failure) {
            assertEquals("test", thread.getName());
            mEnds.add(failure);
        }
    }

    static List<RuntimeException> exceptions() {
        return List.of(
                new IllegalArgumentException("exception"), new IllegalStateException("exception"));
    }

    static List<Error> errors() {
        return List.of(
                new OutOfMemoryError("Java heap space"),
                new StackOverflowError("recursion"),
                new NoClassDefFoundError("missing class"),
                new AssertionError("assertion"));
    }

    static Stream<Arguments> endingFailures() {
        Stream<Arguments> ofErrors =
                errors().stream()
                        .flatMap(
                                error ->
                                        Arrays.stream(Place.values())
                                                .map(place -> Arguments.of(place, error)));
        Stream<Arguments> ofExceptions =
                exceptions().stream().map(e -> Arguments.of(Place.FAILURE_HANDLER, e));
        return Stream.concat(ofErrors, ofExceptions);
    }

    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    private static <T> T take(BlockingQueue<T> queue) throws InterruptedException {
        T first = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(first);
        return first;
    }

    @ParameterizedTest
    @MethodSource("exceptions")
    void handlesTheEventsAfterAnException(RuntimeException failure) throws InterruptedException {
        Recorder recorder = new Recorder();
        BlockingQueue<String> handled = new LinkedBlockingQueue<>();
        Duty<Runnable> duty = Duty.start("test", 8, new FailingHandler(), recorder);
        duty.offer(() -> handled.add("before"));
        duty.offer(() -> fail(failure));
        duty.offer(() -> handled.add("after"));
        assertEquals("before", take(handled));
        assertEquals("after", take(handled));
        assertSame(failure, recorder.mExceptions.remove());
        assertTrue(duty.stop(STOP_TIMEOUT));
        assertNull(recorder.mEnds.poll());
    }

    @ParameterizedTest
    @MethodSource("exceptions")
    void callsTheTimerAfterAnException(RuntimeException failure) throws InterruptedException {
        Recorder recorder = new Recorder();
        BlockingQueue<String> handled = new LinkedBlockingQueue<>();
        FailingHandler handler = new FailingHandler();
        handler.mTimerCalls.add(() -> fail(failure));
        handler.mTimerCalls.add(() -> handled.add("timer"));
        Duty<Runnable> duty = Duty.start("test", 8, handler, recorder);
        assertEquals("timer", take(handled));
        assertSame(failure, recorder.mExceptions.remove());
        assertTrue(duty.stop(STOP_TIMEOUT));
        assertNull(recorder.mEnds.poll());
    }

    @ParameterizedTest
    @MethodSource("endingFailures")
    void endsAtAFailureThatCanLeaveItsStateHalfChanged(Place place, Throwable failure)
            throws InterruptedException {
        Recorder recorder = new Recorder();
        FailingHandler handler = new FailingHandler();
        BlockingQueue<String> handled = new LinkedBlockingQueue<>();
        Duty<Runnable> duty = Duty.start("test", 8, handler, recorder);
        switch (place) {
            case EVENT -> duty.offer(() -> fail(failure));
            case TIMER -> handler.mTimerCalls.add(() -> fail(failure));
            default -> {
                recorder.mCalls.add(() -> fail(failure));
                duty.offer(() -> fail(new IllegalStateException("reported")));
            }
        }
        assertSame(failure, take(recorder.mEnds));
        assertFalse(duty.offer(() -> handled.add("after")), "an ended duty accepts no event");
        assertFalse(duty.offer(() -> handled.add("after"), 8));
        assertTrue(duty.stop(STOP_TIMEOUT));
        assertNull(handled.poll());
    }

    @ParameterizedTest
    @MethodSource("exceptions")
    void endsAtAnExceptionIfTheFailureHandlerIsTheEndingOne(RuntimeException failure)
            throws InterruptedException {
        BlockingQueue<Throwable> uncaught = new LinkedBlockingQueue<>();
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> uncaught.add(cause));
        try {
            Duty<Runnable> duty =
                    Duty.start("test", 8, new FailingHandler(), FailureHandler.ENDING);
            duty.offer(() -> fail(failure));
            assertSame(failure, take(uncaught));
            assertTrue(duty.stop(STOP_TIMEOUT));
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }
}
