package org.crocusturn.daemon.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.HeapShare;

/** HTTP/1.1 server with keep-alive and pipelining. */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2_048;

    /**
     * Maximum bytes of one read. A connection that stops reading keeps them, so larger reads of
     * 1,000 connections would fill a small heap.
     */
    private static final int MAX_READ_BYTES = 16_384;

    /** Bodies of the maximum size that fit even if the share of the heap is smaller. */
    private static final long MIN_BUDGET_BODIES = 2;

    private final Channel mChannel;
    private final ChannelGroup mConnections;
    private final OpenRequests mOpenRequests;

    private HttpServer(Channel channel, ChannelGroup connections, OpenRequests openRequests) {
        mChannel = channel;
        mConnections = connections;
        mOpenRequests = openRequests;
    }

    /**
     * Binds an address and starts serving.
     *
     * @param threads I/O threads
     * @param address address to bind; port 0 chooses a free one
     * @param limits limits of each connection
     * @param handler takes the requests
     */
    public static HttpServer start(
            NetThreads threads, InetSocketAddress address, HttpLimits limits, HttpHandler handler) {
        return start(threads, address, limits, handler, pipeline -> {});
    }

    /**
     * Binds an address and starts serving connections with a customized pipeline.
     *
     * @param threads I/O threads
     * @param address address to bind; port 0 chooses a free one
     * @param limits limits of each connection
     * @param handler takes the requests
     * @param pipelineCustomizer modifies the pipeline of each new connection
     */
    public static HttpServer start(
            NetThreads threads,
            InetSocketAddress address,
            HttpLimits limits,
            HttpHandler handler,
            Consumer<ChannelPipeline> pipelineCustomizer) {
        long requestBytes =
                Math.max(HeapShare.EIGHTH.bytes(), MIN_BUDGET_BODIES * limits.maxBodyBytes());
        return start(
                threads, address, limits, handler, pipelineCustomizer, ByteBudget.of(requestBytes));
    }

    /** Starts a server whose requests in progress share the given memory. */
    static HttpServer start(
            NetThreads threads,
            InetSocketAddress address,
            HttpLimits limits,
            HttpHandler handler,
            Consumer<ChannelPipeline> pipelineCustomizer,
            ByteBudget requestBudget) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        OpenRequests openRequests = OpenRequests.create();
        Channel channel =
                new ServerBootstrap()
                        .group(threads.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                        MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
                        .childHandler(
                                initializer(
                                        limits,
                                        handler,
                                        requestBudget,
                                        connections,
                                        openRequests,
                                        pipelineCustomizer))
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        return new HttpServer(channel, connections, openRequests);
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return mConnections.size();
    }

    /** Stops accepting connections; open ones continue to be served. */
    public void stopAccepting() {
        mChannel.close().syncUninterruptibly();
    }

    /**
     * Stops accepting connections, and closes the open ones once all requests that were read are
     * answered.
     *
     * @param limit maximum time to wait for answers, after which the connections are closed
     */
    public void stop(Duration limit) {
        stopAccepting();
        mOpenRequests
                .noneOpen()
                .completeOnTimeout(null, limit.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        close();
    }

    @Override
    public void close() {
        stopAccepting();
        mConnections.close().awaitUninterruptibly();
    }

    private static ChannelInitializer<SocketChannel> initializer(
            HttpLimits limits,
            HttpHandler handler,
            ByteBudget requestBudget,
            ChannelGroup connections,
            OpenRequests openRequests,
            Consumer<ChannelPipeline> pipelineCustomizer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                if (connections.size() >= limits.maxConnections()) {
                    channel.close();
                    return;
                }
                connections.add(channel);
                HttpServerConnection connection =
                        new HttpServerConnection(limits, handler, requestBudget, openRequests);
                channel.pipeline()
                        .addLast(new InboundBytesNotifier(connection))
                        .addLast(
                                new HttpServerCodec(
                                        new HttpDecoderConfig()
                                                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                                                .setMaxHeaderSize(MAX_HEADER_BYTES)))
                        // One read can contain thousands of requests; they are queued here
                        // while the connection does not read.
                        .addLast(new FlowControlHandler())
                        .addLast(connection);
                pipelineCustomizer.accept(channel.pipeline());
            }
        };
    }
}
