package org.crocusturn.daemon.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;

/**
 * Collects the requests of one connection and sends their answers in order.
 *
 * <p>All state belongs to the event loop of the connection. The connection stops to read while too
 * many requests or bytes of their bodies wait for answers, or while the other end does not read.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOG = LogManager.getLogger(HttpServerConnection.class);

    /**
     * Time in which the other end may close after the last answer; closing at once would reset the
     * connection and could destroy the answer while the other end still sends.
     */
    private static final Duration LINGER = Duration.ofSeconds(1);

    /** Estimate of the bytes that an answer has besides its body. */
    private static final int HEAD_BYTES = 512;

    private final HttpLimits mLimits;
    private final HttpHandler mHandler;
    private final ArrayDeque<PendingExchange> mPending = new ArrayDeque<>();
    private final ConnectionDeadline mDeadline = new ConnectionDeadline();
    private final DrainWatch mDrain;
    private ChannelHandlerContext mContext;
    private RequestCollector mCollector;
    private long mPendingBytes;
    private boolean mReceiving;
    private boolean mContinueDue;
    private boolean mStopped;
    private boolean mFinished;

    HttpServerConnection(HttpLimits limits, HttpHandler handler) {
        mLimits = limits;
        mHandler = handler;
        mDrain = new DrainWatch(limits.requestTimeout());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        update();
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mStopped = true;
        mFinished = true;
        mDeadline.cancel();
        mDrain.cancel();
        mPending.clear();
        dropRequest();
        context.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        flushReady();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Tells that bytes arrived. */
    void onBytes() {
        mReceiving = true;
        update();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mStopped) {
            return;
        }
        try {
            if (message.decoderResult().isFailure()) {
                throw CrocusturnException.notRun(
                        ErrorCode.MALFORMED_REQUEST, "the request is not valid HTTP/1.1");
            }
            if (message instanceof io.netty.handler.codec.http.HttpRequest head) {
                begin(head);
            }
            if (message instanceof HttpContent content && mCollector != null) {
                mCollector.append(content.content());
                if (message instanceof LastHttpContent) {
                    finish();
                }
            }
        } catch (CrocusturnException e) {
            refuse(e.failure());
        }
    }

    private void begin(io.netty.handler.codec.http.HttpRequest head) {
        mCollector = RequestCollector.begin(head, mLimits.maxBodyBytes(), mContext.alloc());
        mContinueDue = mCollector.expectsContinue();
        sendContinueIfDue();
    }

    private void finish() {
        boolean keepAlive = mCollector.keepsAlive();
        HttpRequest request = mCollector.finish();
        mCollector = null;
        mContinueDue = false;
        mReceiving = false;
        mStopped = !keepAlive;
        PendingExchange exchange = new PendingExchange(request);
        mPending.add(exchange);
        mPendingBytes += request.body().length;
        update();
        try {
            mHandler.handle(exchange);
        } catch (RuntimeException e) {
            LOG.error("net: the handler of a request failed", e);
            exchange.respond(
                    FailureAnswer.of(
                            new Failure(
                                    ErrorCode.INTERNAL,
                                    Verdict.MAY_HAVE_RUN,
                                    "the request failed inside the proxy",
                                    java.util.Optional.empty())));
        }
    }

    private void refuse(Failure failure) {
        dropRequest();
        mStopped = true;
        PendingExchange exchange = new PendingExchange(HttpRequest.of("GET", "/"));
        mPending.add(exchange);
        exchange.respond(FailureAnswer.of(failure));
    }

    private void dropRequest() {
        mReceiving = false;
        mContinueDue = false;
        if (mCollector != null) {
            mCollector.release();
            mCollector = null;
        }
    }

    /** An interim answer must not come between the answers of earlier requests. */
    private void sendContinueIfDue() {
        if (mContinueDue && mPending.isEmpty()) {
            mContinueDue = false;
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Adjusts reading and time limits to the state. */
    private void update() {
        boolean reads =
                mStopped
                        || mPending.size() < mLimits.maxPipelined()
                                && mPendingBytes <= mLimits.maxBodyBytes()
                                && mContext.channel().isWritable();
        if (mFinished) {
            mDeadline.enter(mContext, ConnectionDeadline.State.LINGERING, LINGER);
        } else if (mReceiving && !mStopped && reads) {
            mDeadline.enter(mContext, ConnectionDeadline.State.RECEIVING, mLimits.requestTimeout());
        } else if (mPending.isEmpty() && reads) {
            mDeadline.enter(mContext, ConnectionDeadline.State.IDLE, mLimits.idleTimeout());
        } else {
            mDeadline.enter(mContext, ConnectionDeadline.State.NONE, Duration.ZERO);
        }
        if (mContext.channel().config().isAutoRead() != reads) {
            mContext.channel().config().setAutoRead(reads);
        }
    }

    private void flushReady() {
        while (!mFinished
                && !mPending.isEmpty()
                && mPending.peek().mAnswer != null
                && mContext.channel().isWritable()) {
            write(mPending.poll());
        }
        mContext.flush();
        mDrain.start(mContext);
        sendContinueIfDue();
        if (mContext.channel().isActive()) {
            update();
        }
    }

    private void write(PendingExchange exchange) {
        HttpAnswer answer = exchange.mAnswer;
        mPendingBytes -= exchange.mBodyBytes;
        if (answer.close()) {
            dropRequest();
            mStopped = true;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(answer.body()));
        answer.headers().forEach((name, value) -> response.headers().set(name, value));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        mDrain.added(answer.body().length + HEAD_BYTES);
        if (mStopped && mPending.isEmpty()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            mContext.writeAndFlush(response).addListener(this::onLastAnswerWritten);
        } else {
            mContext.write(response, mContext.voidPromise());
        }
    }

    private void onLastAnswerWritten(io.netty.util.concurrent.Future<? super Void> written) {
        if (!written.isSuccess()) {
            mContext.close();
            return;
        }
        mFinished = true;
        update();
        ChannelFuture shutdown = ((SocketChannel) mContext.channel()).shutdownOutput();
        shutdown.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        mContext.close();
                    }
                });
    }

    /** Is a request in the order of its connection. */
    private final class PendingExchange implements HttpExchange {
        private final AtomicBoolean mAnswered = new AtomicBoolean();
        private final int mBodyBytes;
        private volatile HttpRequest mRequest;
        private HttpAnswer mAnswer;

        private PendingExchange(HttpRequest request) {
            mRequest = request;
            mBodyBytes = request.body().length;
        }

        @Override
        public HttpRequest request() {
            return mRequest;
        }

        @Override
        public void forgetRequest() {
            mRequest = null;
        }

        @Override
        public HttpPeer peer() {
            return new ChannelPeer(mContext.channel());
        }

        @Override
        public void respond(HttpAnswer answer) {
            if (!mAnswered.compareAndSet(false, true)) {
                return;
            }
            try {
                mContext.executor()
                        .execute(
                                () -> {
                                    mAnswer = answer;
                                    flushReady();
                                });
            } catch (RejectedExecutionException e) {
                // The I/O threads have ended, so the connection is closed.
                mRequest = null;
            }
        }
    }

    /** Is the other end of a channel. */
    private record ChannelPeer(Channel channel) implements HttpPeer {
        @Override
        public String id() {
            return channel.id().asLongText();
        }

        @Override
        public void onClosed(Runnable action) {
            channel.closeFuture().addListener(done -> action.run());
        }

        @Override
        public void close() {
            channel.close();
        }
    }
}
