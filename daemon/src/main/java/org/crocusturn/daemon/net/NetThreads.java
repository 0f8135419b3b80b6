package org.crocusturn.daemon.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.ring.ThreadFailures;

/** I/O threads of a process. */
public final class NetThreads implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup mGroup;

    private volatile boolean mClosed;

    private NetThreads(EventLoopGroup group) {
        mGroup = group;
        group.forEach(loop -> loop.terminationFuture().addListener(done -> onEnded(loop)));
    }

    /** Creates I/O threads whose names start with a prefix. */
    public static NetThreads start(String name, int threads) {
        return new NetThreads(
                new NioEventLoopGroup(threads, new DefaultThreadFactory(name + "-io", true)));
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

    /** Reports an event loop that ended by itself; Netty logs the cause and ends the thread. */
    private void onEnded(EventExecutor loop) {
        if (!mClosed) {
            ThreadFailures.report(new IllegalStateException("event loop ended: " + loop));
        }
    }
}
