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
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.core.ring.ThreadFailures;

/**
 * Reads the requests of one connection and writes their responses in request order.
 *
 * <p>All state is confined to the event loop of the connection. The connection stops reading while
 * too many requests, or too many bytes of their bodies, wait for responses, or while the client
 * does not read.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOG = LogManager.getLogger(HttpServerConnection.class);

    /**
     * Time for which the client may still close the connection after the last response. Closing at
     * once while the client still sends would reset the connection and could discard the response.
     */
    private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);

    /** Estimated size of a response without its body. */
    private static final int ESTIMATED_HEADER_BYTES = 512;

    private final HttpLimits mLimits;
    private final HttpHandler mHandler;
    private final ByteBudget mRequestBudget;
    private final OpenRequests mOpenRequests;
    private final ArrayDeque<PendingExchange> mPending = new ArrayDeque<>();
    private final ConnectionDeadline mDeadline = new ConnectionDeadline();
    private final SlowReaderDetector mSlowReaderDetector;
    private ChannelHandlerContext mContext;
    private RequestAggregator mAggregator;
    private long mPendingBytes;
    private long mQuietSinceNanos;
    private boolean mReceivingRequest;
    private boolean mContinuePending;
    private boolean mIgnoresInput;
    private boolean mLastResponseWritten;

    /**
     * Creates the handler of a connection.
     *
     * @param limits limits of the connection
     * @param handler takes the requests
     * @param requestBudget memory for the requests of all connections of the server
     * @param openRequests counts the requests of all connections of the server
     */
    HttpServerConnection(
            HttpLimits limits,
            HttpHandler handler,
            ByteBudget requestBudget,
            OpenRequests openRequests) {
        mLimits = limits;
        mHandler = handler;
        mRequestBudget = requestBudget;
        mOpenRequests = openRequests;
        mSlowReaderDetector = new SlowReaderDetector(limits.requestTimeout());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
        mQuietSinceNanos = SteadyClock.nanoTime();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        updateReadState();
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mIgnoresInput = true;
        mLastResponseWritten = true;
        mDeadline.cancel();
        mSlowReaderDetector.cancel();
        mOpenRequests.end(mPending.size());
        mPending.clear();
        discardPartialRequest();
        context.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        flushResponses();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ChannelFailures.report(cause);
        context.close();
    }

    /** Called when bytes arrive, before they form a complete request. */
    void onBytesReceived() {
        mReceivingRequest = true;
        updateReadState();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mIgnoresInput) {
            return;
        }
        try {
            if (message.decoderResult().isFailure()) {
                throw CrocusturnException.notRun(
                        ErrorCode.MALFORMED_REQUEST, "the request is not valid HTTP/1.1");
            }
            if (message instanceof io.netty.handler.codec.http.HttpRequest head) {
                beginRequest(head);
            }
            if (message instanceof HttpContent content && mAggregator != null) {
                mAggregator.append(content.content());
                if (message instanceof LastHttpContent) {
                    dispatchRequest();
                }
            }
        } catch (CrocusturnException e) {
            rejectRequest(e.failure());
        }
    }

    private void beginRequest(io.netty.handler.codec.http.HttpRequest head) {
        mAggregator =
                RequestAggregator.begin(
                        head, mLimits.maxBodyBytes(), mContext.alloc(), mRequestBudget);
        mContinuePending = mAggregator.expectsContinue();
        sendPendingContinue();
    }

    private void dispatchRequest() {
        boolean keepAlive = mAggregator.keepAlive();
        RequestMemory memory = mAggregator.memory();
        HttpRequest request = mAggregator.finish();
        mAggregator = null;
        mContinuePending = false;
        mReceivingRequest = false;
        mIgnoresInput = !keepAlive;
        PendingExchange exchange = new PendingExchange(request, memory);
        addPending(exchange);
        mPendingBytes += request.body().length;
        updateReadState();
        try {
            mHandler.handle(exchange);
        } catch (RuntimeException e) {
            LOG.error("net: the handler of a request failed", e);
            exchange.respond(
                    FailureResponse.of(
                            new Failure(
                                    ErrorCode.INTERNAL,
                                    Verdict.MAY_HAVE_RUN,
                                    "internal error while the request was handled",
                                    java.util.Optional.empty())));
        }
    }

    private void rejectRequest(Failure failure) {
        discardPartialRequest();
        mIgnoresInput = true;
        PendingExchange exchange =
                new PendingExchange(HttpRequest.of("GET", "/"), RequestMemory.none(mRequestBudget));
        addPending(exchange);
        exchange.respond(FailureResponse.of(failure));
    }

    private void addPending(PendingExchange exchange) {
        mPending.add(exchange);
        mOpenRequests.begin();
    }

    private void discardPartialRequest() {
        mReceivingRequest = false;
        mContinuePending = false;
        if (mAggregator != null) {
            mAggregator.discard();
            mAggregator = null;
        }
    }

    /** Sends a pending 100 response, but never before the responses of earlier requests. */
    private void sendPendingContinue() {
        if (mContinuePending && mPending.isEmpty()) {
            mContinuePending = false;
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Enables or disables reading and selects the deadline according to the state. */
    private void updateReadState() {
        boolean shouldRead =
                mIgnoresInput
                        || mPending.size() < mLimits.maxPipelined()
                                && mPendingBytes <= mLimits.maxBodyBytes()
                                && mContext.channel().isWritable();
        if (mLastResponseWritten) {
            mDeadline.enter(mContext, ConnectionDeadline.State.LINGERING, LINGER_TIMEOUT);
        } else if (mReceivingRequest && !mIgnoresInput && shouldRead) {
            mDeadline.enter(mContext, ConnectionDeadline.State.RECEIVING, mLimits.requestTimeout());
        } else if (mPending.isEmpty() && shouldRead) {
            mDeadline.enter(mContext, ConnectionDeadline.State.IDLE, mLimits.idleTimeout());
        } else {
            mDeadline.enter(mContext, ConnectionDeadline.State.NONE, Duration.ZERO);
        }
        if (mContext.channel().config().isAutoRead() != shouldRead) {
            mContext.channel().config().setAutoRead(shouldRead);
        }
    }

    private void flushResponses() {
        while (!mLastResponseWritten
                && !mPending.isEmpty()
                && mPending.peek().mResponse != null
                && mContext.channel().isWritable()) {
            writeResponse(mPending.poll());
        }
        mContext.flush();
        mSlowReaderDetector.start(mContext);
        sendPendingContinue();
        if (mContext.channel().isActive()) {
            updateReadState();
        }
    }

    private void writeResponse(PendingExchange exchange) {
        HttpResponse response = exchange.mResponse;
        mPendingBytes -= exchange.mBodyBytes;
        if (response.closesConnection()) {
            discardPartialRequest();
            mIgnoresInput = true;
        }
        FullHttpResponse encoded =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(response.status()),
                        Unpooled.wrappedBuffer(response.body()));
        response.headers().forEach((name, value) -> encoded.headers().set(name, value));
        encoded.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        if (mPending.isEmpty() && !mReceivingRequest) {
            mQuietSinceNanos = SteadyClock.nanoTime();
        }
        mSlowReaderDetector.addPending(response.body().length + ESTIMATED_HEADER_BYTES);
        if (mIgnoresInput && mPending.isEmpty()) {
            encoded.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            mContext.writeAndFlush(encoded).addListener(this::onLastResponseWritten);
        } else {
            mContext.write(encoded).addListener(written -> mOpenRequests.end(1));
        }
    }

    private void onLastResponseWritten(io.netty.util.concurrent.Future<? super Void> written) {
        mOpenRequests.end(1);
        if (!written.isSuccess()) {
            mContext.close();
            return;
        }
        mLastResponseWritten = true;
        updateReadState();
        ChannelFuture shutdown = ((SocketChannel) mContext.channel()).shutdownOutput();
        shutdown.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        mContext.close();
                    }
                });
    }

    /** Request whose response waits for the responses of earlier requests. */
    private final class PendingExchange implements HttpExchange {
        private final AtomicBoolean mResponded = new AtomicBoolean();
        private final int mBodyBytes;
        private final RequestMemory mMemory;
        private final long mEarliestSentNanos = mQuietSinceNanos;
        private volatile HttpRequest mRequest;
        private HttpResponse mResponse;

        private PendingExchange(HttpRequest request, RequestMemory memory) {
            mRequest = request;
            mMemory = memory;
            mBodyBytes = request.body().length;
        }

        @Override
        public HttpRequest request() {
            return mRequest;
        }

        @Override
        public long earliestSentNanos() {
            return mEarliestSentNanos;
        }

        @Override
        public boolean isAbandoned() {
            return !mContext.channel().isActive();
        }

        @Override
        public void releaseRequest() {
            mRequest = null;
            mMemory.release();
        }

        @Override
        public HttpConnection connection() {
            return new ChannelConnection(mContext.channel());
        }

        @Override
        public void respond(HttpResponse response) {
            if (!mResponded.compareAndSet(false, true)) {
                return;
            }
            mMemory.release();
            try {
                mContext.executor()
                        .execute(
                                ThreadFailures.guardTask(
                                        () -> {
                                            mResponse = response;
                                            flushResponses();
                                        }));
            } catch (RejectedExecutionException e) {
                // The event loop has terminated, so the connection is closed.
                mRequest = null;
            }
        }
    }

    /** {@link HttpConnection} of a Netty channel. */
    private record ChannelConnection(Channel channel) implements HttpConnection {
        @Override
        public String id() {
            return channel.id().asLongText();
        }

        @Override
        public void onClosed(Runnable action) {
            channel.closeFuture().addListener(done -> ThreadFailures.guardTask(action).run());
        }

        @Override
        public void close() {
            channel.close();
        }
    }
}
