package org.crocusturn.daemon.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.ring.ThreadFailures;

/** I/O threads of a process. */
public final class NetThreads implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup mGroup;
    private volatile boolean mClosed;

    private NetThreads(String name, int threads) {
        ThreadFactory names = new DefaultThreadFactory(name + "-io", true);
        ThreadFactory factory = task -> names.newThread(() -> runEventLoop(task));
        mGroup = new NioEventLoopGroup(threads, factory);
    }

    /** Creates I/O threads whose names start with a prefix. */
    public static NetThreads start(String name, int threads) {
        return new NetThreads(name, threads);
    }

    /** Returns the event loops, for servers and clients inside and outside this package. */
    public EventLoopGroup group() {
        return mGroup;
    }

    /** Waits until the tasks that were submitted before, such as writes, have run. */
    public void awaitTasks(Duration limit) {
        mGroup.forEach(loop -> loop.submit(() -> {}).awaitUninterruptibly(limit.toMillis()));
    }

    @Override
    public void close() {
        mClosed = true;
        mGroup.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }

    /** Runs an event loop and reports if it ends by itself; Netty only logs the cause. */
    private void runEventLoop(Runnable task) {
        try {
            task.run();
        } finally {
            if (!mClosed) {
                ThreadFailures.report(new IllegalStateException("the event loop has ended"));
            }
        }
    }
}
