package org.crocusturn.standin.database;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import java.util.Optional;
import org.crocusturn.daemon.net.HttpResponse;

/**
 * Applies the fault of a marked answer to its bytes: sends them in many small TCP writes, or twice,
 * or in part. Each connection has its own instance.
 */
final class FaultyWriter extends ChannelOutboundHandlerAdapter {
    private static final String KIND_HEADER = "crocusturn-standin-fault";
    private static final String MILLIS_HEADER = "crocusturn-standin-fault-millis";
    private static final int PART_BYTES = 16;
    private static final long PART_INTERVAL_NANOS = 1_000_000;

    private ChannelHandlerContext mContext;
    private Optional<Fault.Kind> mKind = Optional.empty();
    private ByteBuf mAnswer = Unpooled.EMPTY_BUFFER;
    private long mNextWriteNanos = System.nanoTime();

    private FaultyWriter() {}

    /** Returns an answer that carries its fault to the writer. */
    static HttpResponse mark(HttpResponse answer, Fault fault) {
        return answer.withHeader(KIND_HEADER, fault.kind().name())
                .withHeader(MILLIS_HEADER, Long.toString(fault.millis()));
    }

    /** Adds the handlers to the pipeline of a connection. */
    static void addTo(ChannelPipeline pipeline) {
        FaultyWriter writer = new FaultyWriter();
        pipeline.addFirst(writer);
        pipeline.addBefore(pipeline.lastContext().name(), "fault-mark", writer.markDetector());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (mKind.isEmpty() || !(message instanceof ByteBuf bytes)) {
            context.write(message, promise);
            return;
        }
        switch (mKind.get()) {
            case SPLIT -> writeParts(context, bytes, promise);
            case REPEATED -> {
                mAnswer = Unpooled.wrappedBuffer(mAnswer, Unpooled.copiedBuffer(bytes));
                context.write(bytes, promise);
            }
            default -> {
                mAnswer = Unpooled.wrappedBuffer(mAnswer, Unpooled.copiedBuffer(bytes));
                bytes.release();
                promise.setSuccess();
            }
        }
    }

    private void writeParts(ChannelHandlerContext context, ByteBuf bytes, ChannelPromise promise) {
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

    /** Completes the fault of an answer whose bytes have all been passed to the writer. */
    private void endAnswer(long millis) {
        ByteBuf answer = mAnswer;
        mAnswer = Unpooled.EMPTY_BUFFER;
        if (mKind.equals(Optional.of(Fault.Kind.REPEATED))) {
            mContext.executor()
                    .schedule(() -> mContext.writeAndFlush(answer), millis, MILLISECONDS);
        } else if (mKind.equals(Optional.of(Fault.Kind.CUT))) {
            mContext.writeAndFlush(answer.readSlice(answer.readableBytes() / 2))
                    .addListener(done -> mContext.close());
        }
        mKind = Optional.empty();
    }

    /** Returns a handler before the encoder that reads the mark of each answer. */
    private ChannelOutboundHandlerAdapter markDetector() {
        return new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(
                    ChannelHandlerContext context, Object message, ChannelPromise promise) {
                if (!(message instanceof io.netty.handler.codec.http.HttpResponse response)) {
                    context.write(message, promise);
                    return;
                }
                mKind =
                        Optional.ofNullable(response.headers().get(KIND_HEADER))
                                .map(Fault.Kind::valueOf);
                long millis = mKind.isEmpty() ? 0 : response.headers().getInt(MILLIS_HEADER);
                context.write(message, promise);
                endAnswer(millis);
            }
        };
    }
}
