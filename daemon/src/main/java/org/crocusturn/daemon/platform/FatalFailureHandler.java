package org.crocusturn.daemon.platform;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.crocusturn.daemon.operators.ExitStatus;

/**
 * Ends the process when a thread fails with an error or an exception that nothing handles.
 *
 * <p>A process that has lost a thread would keep its leadership, leases and connections without the
 * duty that serves them. A process that has ended loses them to the others within their timeouts.
 *
 * <p>The process halts without running shutdown hooks, so that it also ends during a planned stop
 * and when its memory is exhausted.
 */
public final class FatalFailureHandler implements Thread.UncaughtExceptionHandler {
    /** Time after which the process ends even if the report cannot be written. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(500);

    private final Reporter mReporter;
    private final Runnable mEnd;
    private final CountDownLatch mFailed = new CountDownLatch(1);

    FatalFailureHandler(Reporter reporter, Runnable end, Duration reportTimeout) {
        mReporter = Objects.requireNonNull(reporter, "reporter");
        mEnd = Objects.requireNonNull(end, "end");
        // Started in advance because a process without memory cannot start a thread.
        Thread watchdog = new Thread(() -> endAfter(reportTimeout), "failure-watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** Writes the cause of the end. */
    interface Reporter {
        void report(Thread thread, Throwable failure) throws IOException;
    }

    /** Installs the handler for all threads of the process that have no handler of their own. */
    public static void install() {
        Thread.setDefaultUncaughtExceptionHandler(
                new FatalFailureHandler(
                        new StandardErrorReporter(),
                        () -> Runtime.getRuntime().halt(ExitStatus.FAILED.code()),
                        REPORT_TIMEOUT));
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        try {
            mFailed.countDown();
            mReporter.report(thread, failure);
        } catch (Throwable e) {
            // The process ends without a report.
        } finally {
            mEnd.run();
        }
    }

    private void endAfter(Duration timeout) {
        try {
            mFailed.await();
            // Never counted down: the process ends earlier if the report was written.
            new CountDownLatch(1).await(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mEnd.run();
        }
    }

    /**
     * Writes to the standard error stream of the process, without the locks and buffers of {@link
     * System#err} and of the logging library. The first line needs no memory, the rest does.
     */
    private static final class StandardErrorReporter implements Reporter {
        private static final int MAX_FRAMES = 64;

        private final FileOutputStream mOutput = new FileOutputStream(FileDescriptor.err);
        private final byte[] mPrefix =
                ("crocusturn: the process ends with status "
                                + ExitStatus.FAILED.code()
                                + " after a failure of the thread ")
                        .getBytes(StandardCharsets.US_ASCII);
        private final byte[] mBuffer = new byte[256];

        @Override
        public synchronized void report(Thread thread, Throwable failure) throws IOException {
            int length = append(thread.getName(), copyPrefix());
            mBuffer[length] = '\n';
            mOutput.write(mBuffer, 0, length + 1);
            mOutput.write(describe(failure).getBytes(StandardCharsets.UTF_8));
        }

        private int copyPrefix() {
            System.arraycopy(mPrefix, 0, mBuffer, 0, mPrefix.length);
            return mPrefix.length;
        }

        private int append(String text, int start) {
            int length = Math.min(text.length(), mBuffer.length - 1 - start);
            for (int i = 0; i < length; i++) {
                char c = text.charAt(i);
                mBuffer[start + i] = c >= ' ' && c < 127 ? (byte) c : (byte) '?';
            }
            return start + length;
        }

        private static String describe(Throwable failure) {
            String frames =
                    Arrays.stream(failure.getStackTrace())
                            .limit(MAX_FRAMES)
                            .map(frame -> "\tat " + frame + "\n")
                            .collect(Collectors.joining());
            Throwable cause = failure.getCause();
            return failure + "\n" + frames + (cause == null ? "" : "Caused by: " + cause + "\n");
        }
    }
}
