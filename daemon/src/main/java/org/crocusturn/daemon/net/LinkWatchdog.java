package org.crocusturn.daemon.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.core.ring.ThreadFailures;

/**
 * Fires {@link IdleStateEvent}s for the heartbeats and the loss of a link. Confined to its loop.
 */
final class LinkWatchdog extends ChannelDuplexHandler {
    private final LongConsumer mOnBytes;
    private LinkActivity mActivity = LinkActivity.startingAt(SteadyClock.nanoTime());
    private long mTimerNanos;
    private ScheduledFuture<?> mTimer;

    /**
     * Creates a watchdog.
     *
     * @param onBytes receives the time at which bytes arrived, in nanoseconds of the steady clock
     */
    LinkWatchdog(LongConsumer onBytes) {
        mOnBytes = onBytes;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        schedule(context);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        cancel();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancel();
        context.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        int bytes = ((ByteBuf) message).readableBytes();
        long now = SteadyClock.nanoTime();
        mActivity = mActivity.withRead(bytes, now);
        mOnBytes.accept(now);
        scheduleEarlier(context);
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        int bytes = ((ByteBuf) message).readableBytes();
        mActivity = mActivity.withWritten(bytes, SteadyClock.nanoTime());
        scheduleEarlier(context);
        context.write(message, promise);
    }

    private void onTimer(ChannelHandlerContext context) {
        long now = SteadyClock.nanoTime();
        if (mActivity.isLost(now)) {
            context.fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
            return;
        }
        if (mActivity.isHeartbeatDue(now)) {
            // Counts as written even if the channel accepts no data now.
            mActivity = mActivity.withWritten(0, now);
            context.fireUserEventTriggered(IdleStateEvent.WRITER_IDLE_STATE_EVENT);
        }
        schedule(context);
    }

    private void scheduleEarlier(ChannelHandlerContext context) {
        if (mTimer != null && mActivity.nextNanos() - mTimerNanos < 0) {
            mTimer.cancel(false);
            schedule(context);
        }
    }

    private void schedule(ChannelHandlerContext context) {
        mTimerNanos = mActivity.nextNanos();
        long delay = Math.max(0, mTimerNanos - SteadyClock.nanoTime());
        mTimer =
                context.executor()
                        .schedule(
                                ThreadFailures.guardTask(() -> onTimer(context)),
                                delay,
                                TimeUnit.NANOSECONDS);
    }

    private void cancel() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
