package org.crocusturn.standin.database;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;

/** Sends marked answers in many small TCP writes. Each connection has its own instance. */
final class SplitWriter extends ChannelOutboundHandlerAdapter {
    /** Header that marks an answer that is to be split. */
    static final String HEADER = "crocusturn-standin-split";

    private static final int PART_BYTES = 16;
    private static final long PART_INTERVAL_NANOS = 1_000_000;

    private boolean mSplit;
    private long mNextWriteNanos = System.nanoTime();

    private SplitWriter() {}

    /** Adds the handlers to the pipeline of a connection. */
    static void addTo(ChannelPipeline pipeline) {
        SplitWriter writer = new SplitWriter();
        pipeline.addFirst(writer);
        pipeline.addBefore(pipeline.lastContext().name(), "split-mark", writer.markDetector());
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (!mSplit || !(message instanceof ByteBuf bytes)) {
            context.write(message, promise);
            return;
        }
        while (bytes.readableBytes() > PART_BYTES) {
            ByteBuf part = bytes.readRetainedSlice(PART_BYTES);
            context.executor()
                    .schedule(() -> context.writeAndFlush(part), nextDelayNanos(), NANOSECONDS);
        }
        context.executor()
                .schedule(
                        () -> context.writeAndFlush(bytes, promise), nextDelayNanos(), NANOSECONDS);
    }

    /** Returns the delay of the next part; delays increase, so that the parts stay in order. */
    private long nextDelayNanos() {
        long nowNanos = System.nanoTime();
        mNextWriteNanos = Math.max(mNextWriteNanos, nowNanos) + PART_INTERVAL_NANOS;
        return mNextWriteNanos - nowNanos;
    }

    /** Returns a handler before the encoder that records whether the answer is marked. */
    private ChannelOutboundHandlerAdapter markDetector() {
        return new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(
                    ChannelHandlerContext context, Object message, ChannelPromise promise) {
                if (message instanceof HttpResponse response) {
                    mSplit = response.headers().contains(HEADER);
                }
                context.write(message, promise);
            }
        };
    }
}
