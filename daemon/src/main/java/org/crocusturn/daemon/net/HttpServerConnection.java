package org.crocusturn.daemon.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Collects the requests of one connection and sends their answers in order.
 *
 * <p>All state belongs to the event loop of the connection.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Headers with a meaning for admission; two values of one could be read differently. */
    private static final java.util.Set<String> SINGLE =
            java.util.Set.of("authorization", "crocusturn-session", "content-length", "host");

    private final HttpLimits mLimits;
    private final HttpHandler mHandler;
    private final ArrayDeque<PendingExchange> mPending = new ArrayDeque<>();
    private io.netty.handler.codec.http.HttpRequest mHead;
    private CompositeByteBuf mBody;
    private boolean mTooLong;
    private boolean mClosing;
    private io.netty.util.concurrent.Future<?> mTimeout;

    HttpServerConnection(HttpLimits limits, HttpHandler handler) {
        mLimits = limits;
        mHandler = handler;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        restartTimeout(context, mLimits.idleTimeout().toMillis());
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelTimeout();
        releaseBody();
        context.fireChannelInactive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mClosing) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            refuse(context, 400, "malformed_request", "the request is not valid HTTP/1.1");
            return;
        }
        if (message instanceof io.netty.handler.codec.http.HttpRequest head) {
            begin(context, head);
        }
        if (message instanceof HttpContent content && mHead != null) {
            append(context, content.content());
            if (message instanceof LastHttpContent && !mClosing) {
                finish(context);
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void begin(
            ChannelHandlerContext context, io.netty.handler.codec.http.HttpRequest head) {
        mHead = head;
        mBody = context.alloc().compositeBuffer(Integer.MAX_VALUE);
        mTooLong = false;
        restartTimeout(context, mLimits.requestTimeout().toMillis());
        if (HttpUtil.getContentLength(head, 0L) > mLimits.maxBodyBytes()) {
            refuseTooLong(context);
        } else if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void append(ChannelHandlerContext context, ByteBuf part) {
        if (mTooLong || mBody == null) {
            return;
        }
        if (mBody.readableBytes() + part.readableBytes() > mLimits.maxBodyBytes()) {
            refuseTooLong(context);
            return;
        }
        if (part.isReadable()) {
            mBody.addComponent(true, part.retain());
        }
    }

    private void refuseTooLong(ChannelHandlerContext context) {
        mTooLong = true;
        refuse(
                context,
                413,
                "too_large",
                "the body is longer than " + mLimits.maxBodyBytes() + " bytes");
    }

    private void finish(ChannelHandlerContext context) {
        byte[] body = new byte[mBody.readableBytes()];
        mBody.readBytes(body);
        Map<String, String> headers = new HashMap<>();
        for (Map.Entry<String, String> header : mHead.headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (headers.put(name, header.getValue()) != null && SINGLE.contains(name)) {
                refuse(context, 400, "malformed_request", "header " + name + " is repeated");
                return;
            }
        }
        boolean keepAlive = HttpUtil.isKeepAlive(mHead);
        HttpRequest request = new HttpRequest(mHead.method().name(), mHead.uri(), headers, body);
        releaseBody();
        mHead = null;
        PendingExchange exchange = new PendingExchange(context, request, keepAlive);
        mPending.add(exchange);
        cancelTimeout();
        if (mPending.size() >= mLimits.maxPipelined()) {
            context.channel().config().setAutoRead(false);
        }
        mHandler.handle(exchange);
    }

    private void refuse(ChannelHandlerContext context, int status, String code, String message) {
        mClosing = true;
        releaseBody();
        mHead = null;
        cancelTimeout();
        PendingExchange exchange = new PendingExchange(context, HttpRequest.of("GET", "/"), false);
        mPending.add(exchange);
        String body =
                "{\"code\":\""
                        + code
                        + "\",\"message\":\""
                        + message
                        + "\",\"verdict\":\"not_run\"}";
        exchange.respond(HttpAnswer.json(status, body.getBytes(StandardCharsets.UTF_8)));
    }

    private void releaseBody() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    private void restartTimeout(ChannelHandlerContext context, long millis) {
        cancelTimeout();
        mTimeout =
                context.executor()
                        .schedule(
                                () -> {
                                    context.close();
                                },
                                millis,
                                TimeUnit.MILLISECONDS);
    }

    private void cancelTimeout() {
        if (mTimeout != null) {
            mTimeout.cancel(false);
            mTimeout = null;
        }
    }

    private void flushReady(ChannelHandlerContext context) {
        boolean wrote = false;
        while (!mPending.isEmpty() && mPending.peek().mAnswer != null) {
            PendingExchange first = mPending.poll();
            write(context, first);
            wrote = true;
        }
        if (!wrote) {
            return;
        }
        context.flush();
        if (!mClosing && mPending.size() < mLimits.maxPipelined()) {
            context.channel().config().setAutoRead(true);
        }
        if (mPending.isEmpty() && mHead == null) {
            restartTimeout(context, mLimits.idleTimeout().toMillis());
        }
    }

    private void write(ChannelHandlerContext context, PendingExchange exchange) {
        HttpAnswer answer = exchange.mAnswer;
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(answer.status()),
                        Unpooled.wrappedBuffer(answer.body()));
        answer.headers().forEach((name, value) -> response.headers().set(name, value));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        if (answer.close() || !exchange.mKeepAlive) {
            mClosing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            mPending.clear();
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.write(response, context.voidPromise());
        }
    }

    /** Is a request in the order of its connection. */
    private final class PendingExchange implements HttpExchange {
        private final ChannelHandlerContext mContext;
        private final HttpRequest mRequest;
        private final boolean mKeepAlive;
        private final AtomicBoolean mAnswered = new AtomicBoolean();
        private HttpAnswer mAnswer;

        private PendingExchange(
                ChannelHandlerContext context, HttpRequest request, boolean keepAlive) {
            mContext = context;
            mRequest = request;
            mKeepAlive = keepAlive;
        }

        @Override
        public HttpRequest request() {
            return mRequest;
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
            mContext.executor()
                    .execute(
                            () -> {
                                mAnswer = answer;
                                flushReady(mContext);
                            });
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
