package org.crocusturn.daemon.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.ring.ThreadFailures;

/**
 * Closes a connection whose client reads its responses too slowly.
 *
 * <p>Confined to the event loop of the connection.
 */
public final class SlowReaderDetector {
    /**
     * Minimum bytes that a client must read per period; a lower rate could keep responses in memory
     * for hours.
     */
    private static final long MIN_READ_BYTES_PER_PERIOD = 16_384;

    private final Duration mPeriod;
    private Future<?> mTimer;
    private long mMaxPendingBytes;

    /** Creates a detector that checks the connection once per period. */
    public SlowReaderDetector(Duration period) {
        mPeriod = period;
    }

    /** Starts a period if bytes are pending and no period is running. */
    public void start(ChannelHandlerContext context) {
        long pending = pendingBytes(context.channel());
        if (mTimer != null || pending == 0) {
            return;
        }
        mMaxPendingBytes = pending - Math.min(pending, MIN_READ_BYTES_PER_PERIOD);
        mTimer =
                context.executor()
                        .schedule(
                                ThreadFailures.guardTask(() -> check(context)),
                                mPeriod.toNanos(),
                                TimeUnit.NANOSECONDS);
    }

    /** Adds bytes that were written during the current period. */
    public void addPending(long bytes) {
        mMaxPendingBytes += bytes;
    }

    /** Stops checking. */
    public void cancel() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    private void check(ChannelHandlerContext context) {
        mTimer = null;
        if (pendingBytes(context.channel()) > mMaxPendingBytes) {
            context.close();
        } else {
            start(context);
        }
    }

    private static long pendingBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
