package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a process that lives on without one of its event loops. */
class NetThreadsTest {
    private static final long REPORT_SECONDS = 10;

    @ParameterizedTest(name = "the process closes its threads: {0}")
    @ValueSource(booleans = {false, true})
    void reportsAnEventLoopThatEndsByItself(boolean closed) throws InterruptedException {
        BlockingQueue<Throwable> reported = new LinkedBlockingQueue<>();
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> reported.add(failure));
        try {
            NetThreads threads = NetThreads.start("test", 1);
            if (closed) {
                threads.close();
            } else {
                threads.group().next().shutdownGracefully(0, 0, TimeUnit.SECONDS);
            }
            Throwable failure =
                    closed
                            ? reported.poll(200, TimeUnit.MILLISECONDS)
                            : reported.poll(REPORT_SECONDS, TimeUnit.SECONDS);
            assertEquals(!closed, failure instanceof IllegalStateException);
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }
}
