package org.crocusturn.daemon.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.ring.ThreadFailures;

/**
 * HTTP/1.1 client connection that carries one request at a time.
 *
 * <p>Thread-safe. A connection whose response did not arrive is closed, and so is one on which
 * anything arrives while no request is outstanding, so that a late response cannot be matched with
 * another request. A response that comes again while the next request is outstanding cannot be told
 * apart here: a caller that sends several requests has to check which one a response names.
 */
public final class HttpClientConnection implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 64 << 20;

    private final Channel mChannel;
    private final ResponseHandler mHandler;

    private HttpClientConnection(Channel channel, ResponseHandler handler) {
        mChannel = channel;
        mHandler = handler;
    }

    /** Opens a connection; the future fails with verdict "not run" if connecting fails. */
    public static CompletableFuture<HttpClientConnection> connect(
            NetThreads threads, InetSocketAddress address, Duration timeout) {
        return connect(threads, address, timeout, MAX_RESPONSE_BYTES);
    }

    /**
     * Opens a connection that accepts only small responses; the future fails with verdict "not run"
     * if connecting fails.
     */
    public static CompletableFuture<HttpClientConnection> connect(
            NetThreads threads, InetSocketAddress address, Duration timeout, int maxResponseBytes) {
        ResponseHandler handler = new ResponseHandler();
        CompletableFuture<HttpClientConnection> result = new CompletableFuture<>();
        new Bootstrap()
                .group(threads.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(initializer(handler, maxResponseBytes))
                .connect(address)
                .addListener(
                        (io.netty.channel.ChannelFuture done) -> {
                            if (done.isSuccess()) {
                                result.complete(new HttpClientConnection(done.channel(), handler));
                            } else {
                                ChannelFailures.report(done.cause());
                                result.completeExceptionally(connectFailure(address, done.cause()));
                            }
                        });
        return result;
    }

    /**
     * Sends a request.
     *
     * @param request request to send
     * @param timeout timeout for the complete response, after which the connection is reset
     * @return the response; the future fails with a {@link CrocusturnException} that has the
     *     verdict
     */
    public CompletableFuture<HttpResponse> send(HttpRequest request, Duration timeout) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        mChannel.eventLoop()
                .execute(ThreadFailures.guardTask(() -> sendInEventLoop(request, timeout, result)));
        return result;
    }

    /** Returns whether the connection is open. */
    public boolean isOpen() {
        return mChannel.isActive();
    }

    /**
     * Runs an action when the connection has closed, or at once if it is closed already. The result
     * of the last request is complete before that.
     */
    public void onClosed(Runnable action) {
        mHandler.mClosed.thenRun(ThreadFailures.guardTask(action));
    }

    @Override
    public void close() {
        mChannel.close();
    }

    /** Closes the connection and discards what the peer has not received yet. */
    public void reset() {
        if (mChannel.isOpen()) {
            mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
            mChannel.close();
        }
    }

    private void sendInEventLoop(
            HttpRequest request, Duration timeout, CompletableFuture<HttpResponse> result) {
        if (!mChannel.isActive() || !mHandler.begin(result)) {
            result.completeExceptionally(
                    CrocusturnException.notRun(
                            ErrorCode.UNAVAILABLE, "the connection is closed or busy"));
            return;
        }
        var timer =
                mChannel.eventLoop()
                        .schedule(
                                ThreadFailures.guardTask(
                                        () -> {
                                            reset();
                                            mHandler.closeAndFail(
                                                    mChannel, "the request timed out");
                                        }),
                                timeout.toNanos(),
                                TimeUnit.NANOSECONDS);
        result.whenComplete((response, error) -> timer.cancel(false));
        mChannel.writeAndFlush(encode(request))
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                mHandler.closeAndFail(mChannel, "the request could not be written");
                            }
                        });
    }

    private FullHttpRequest encode(HttpRequest request) {
        FullHttpRequest encoded =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.path(),
                        io.netty.buffer.Unpooled.wrappedBuffer(request.body()));
        request.headers().forEach((name, value) -> encoded.headers().set(name, value));
        encoded.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        encoded.headers()
                .set(
                        HttpHeaderNames.HOST,
                        Addresses.format((InetSocketAddress) mChannel.remoteAddress()));
        return encoded;
    }

    private static CrocusturnException connectFailure(InetSocketAddress address, Throwable cause) {
        return CrocusturnException.causedBy(
                Failure.notRun(
                        ErrorCode.UNAVAILABLE, "cannot connect to " + Addresses.format(address)),
                cause);
    }

    private static ChannelInitializer<SocketChannel> initializer(
            ResponseHandler handler, int maxResponseBytes) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new UnrequestedInputGuard(handler))
                        .addLast(new HttpRequestEncoder())
                        .addLast(handler.mDecoder)
                        .addLast(new UnrequestedInputGuard(handler))
                        .addLast(new HttpObjectAggregator(maxResponseBytes))
                        .addLast(handler);
            }
        };
    }

    /** Decodes responses and tells whether bytes of an incomplete one are left. */
    private static final class ResponseDecoder extends HttpResponseDecoder {
        private boolean hasRemainder() {
            return actualReadableBytes() > 0;
        }
    }

    /**
     * Closes the connection when bytes, or the head of a response that came together with the
     * previous one, arrive while no request is outstanding.
     */
    private static final class UnrequestedInputGuard extends ChannelInboundHandlerAdapter {
        private final ResponseHandler mHandler;

        private UnrequestedInputGuard(ResponseHandler handler) {
            mHandler = handler;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mHandler.mPendingResult == null) {
                ReferenceCountUtil.release(message);
                context.close();
            } else {
                context.fireChannelRead(message);
            }
        }
    }

    /** Completes the pending request with its response; confined to the event loop. */
    private static final class ResponseHandler
            extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ResponseDecoder mDecoder = new ResponseDecoder();
        private final CompletableFuture<Void> mClosed = new CompletableFuture<>();
        private CompletableFuture<HttpResponse> mPendingResult;

        private boolean begin(CompletableFuture<HttpResponse> result) {
            if (mPendingResult != null) {
                return false;
            }
            mPendingResult = result;
            return true;
        }

        private void closeAndFail(Channel channel, String reason) {
            channel.close();
            CompletableFuture<HttpResponse> pending = mPendingResult;
            mPendingResult = null;
            if (pending != null) {
                pending.completeExceptionally(CrocusturnException.of(Failure.mayHaveRun(reason)));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (mPendingResult == null || response.decoderResult().isFailure()) {
                closeAndFail(
                        context.channel(),
                        "the response is not valid HTTP or belongs to no request");
                return;
            }
            byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            Map<String, String> headers = new HashMap<>();
            response.headers()
                    .forEach(
                            header ->
                                    headers.put(
                                            header.getKey().toLowerCase(Locale.ROOT),
                                            header.getValue()));
            boolean close = !io.netty.handler.codec.http.HttpUtil.isKeepAlive(response);
            CompletableFuture<HttpResponse> pending = mPendingResult;
            mPendingResult = null;
            if (close) {
                context.close();
            }
            pending.complete(new HttpResponse(response.status().code(), headers, body, close));
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (mPendingResult == null && mDecoder.hasRemainder()) {
                context.close();
            }
            context.fireChannelReadComplete();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            closeAndFail(
                    context.channel(), "the connection was closed before the response arrived");
            mClosed.complete(null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ChannelFailures.report(cause);
            closeAndFail(context.channel(), "the connection failed: " + cause.getMessage());
        }
    }
}
