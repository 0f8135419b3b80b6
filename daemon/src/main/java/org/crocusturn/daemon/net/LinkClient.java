package org.crocusturn.daemon.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/**
 * Keeps one link to an address and connects again when it is lost.
 *
 * <p>Safe for any thread. Its handler hears of each link that opens and closes.
 */
public final class LinkClient implements AutoCloseable {
    private static final long MIN_BACKOFF_MILLIS = 20;
    private static final long MAX_BACKOFF_MILLIS = 500;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final InetSocketAddress mAddress;
    private final EventLoop mEventLoop;
    private final Bootstrap mBootstrap;
    private volatile PeerLink mLink;
    private volatile ChannelFuture mConnectFuture;
    private volatile boolean mClosed;
    private long mBackoffMillis = MIN_BACKOFF_MILLIS;

    private LinkClient(
            NetThreads threads,
            InetSocketAddress address,
            HostId self,
            SharedSecret secret,
            PeerLinkHandler handler) {
        mAddress = address;
        mEventLoop = threads.group().next();
        mBootstrap =
                new Bootstrap()
                        .group(mEventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        LinkLimits.WRITE_BUFFER_LOW_BYTES,
                                        LinkLimits.WRITE_BUFFER_HIGH_BYTES))
                        .handler(initializer(self, secret, new LinkTracker(handler)));
    }

    /**
     * Starts to connect; the link opens later.
     *
     * @param threads I/O threads
     * @param address address of the other end
     * @param self name of this host, as told to the other end
     * @param secret secret that the other end has to know
     * @param handler takes the events of the links
     */
    public static LinkClient start(
            NetThreads threads,
            InetSocketAddress address,
            HostId self,
            SharedSecret secret,
            PeerLinkHandler handler) {
        LinkClient client = new LinkClient(threads, address, self, secret, handler);
        client.mEventLoop.execute(client::connect);
        return client;
    }

    /** Returns the address of the other end. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Returns whether a link is open. */
    public boolean isOpen() {
        return mLink != null;
    }

    /**
     * Sends a message and returns true, or returns false if no link is open or its buffer is full;
     * the message is then not sent.
     */
    public boolean send(PeerMessage message) {
        PeerLink link = mLink;
        return link != null && link.send(message);
    }

    @Override
    public void close() {
        mClosed = true;
        ChannelFuture connectFuture = mConnectFuture;
        if (connectFuture != null) {
            connectFuture.channel().close();
        }
    }

    private void connect() {
        if (mClosed) {
            return;
        }
        ChannelFuture connectFuture = mBootstrap.connect(mAddress);
        mConnectFuture = connectFuture;
        if (mClosed) {
            connectFuture.channel().close();
        }
        connectFuture.channel().closeFuture().addListener(done -> scheduleReconnect());
    }

    private void scheduleReconnect() {
        if (mClosed || mEventLoop.isShuttingDown()) {
            return;
        }
        // Clients that lost the same server must not all come back at the same moment.
        long delay =
                ThreadLocalRandom.current().nextLong(mBackoffMillis / 2 + 1) + mBackoffMillis / 2;
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
        try {
            mEventLoop.schedule(this::connect, delay, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            mClosed = true;
        }
    }

    private static ChannelInitializer<SocketChannel> initializer(
            HostId self, SharedSecret secret, PeerLinkHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                LinkPipeline.startHandshake(
                        channel, new LinkHandshake(LinkRole.CLIENT, self, secret, handler));
            }
        };
    }

    /** Remembers the open link and passes its events on; called in the event loop. */
    private final class LinkTracker implements PeerLinkHandler {
        private final PeerLinkHandler mNext;

        private LinkTracker(PeerLinkHandler next) {
            mNext = next;
        }

        @Override
        public void onOpen(PeerLink link) {
            mBackoffMillis = MIN_BACKOFF_MILLIS;
            mLink = link;
            mNext.onOpen(link);
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            mNext.onMessage(link, message);
        }

        @Override
        public void onClosed(PeerLink link) {
            if (mLink == link) {
                mLink = null;
            }
            mNext.onClosed(link);
        }
    }
}
