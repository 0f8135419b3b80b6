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
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.ring.ThreadFailures;

/**
 * Maintains one link to an address and reconnects with exponential backoff when the link is lost.
 *
 * <p>Thread-safe. The handler is notified of each link that opens or closes.
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
     * Starts connecting and returns without waiting for the link to open.
     *
     * @param threads I/O threads
     * @param address address of the remote process
     * @param self id of this host, sent to the remote process
     * @param secret secret that the remote process must know
     * @param handler receives the events of the links
     */
    public static LinkClient start(
            NetThreads threads,
            InetSocketAddress address,
            HostId self,
            SharedSecret secret,
            PeerLinkHandler handler) {
        LinkClient client = new LinkClient(threads, address, self, secret, handler);
        client.mEventLoop.execute(ThreadFailures.guardTask(client::connect));
        return client;
    }

    /** Returns the address of the remote process. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Returns whether a link is open. */
    public boolean isOpen() {
        return mLink != null;
    }

    /**
     * Returns the time of the last bytes of the open link, in nanoseconds of the steady clock;
     * empty if no link is open.
     */
    public OptionalLong lastBytesNanos() {
        PeerLink link = mLink;
        return link == null ? OptionalLong.empty() : OptionalLong.of(link.lastBytesNanos());
    }

    /**
     * Sends a message. Returns false without sending it if no link is open or the write buffer is
     * full.
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
        connectFuture.addListener(
                done -> Optional.ofNullable(done.cause()).ifPresent(ThreadFailures::reportError));
        connectFuture
                .channel()
                .closeFuture()
                .addListener(done -> ThreadFailures.guardTask(this::scheduleReconnect).run());
    }

    private void scheduleReconnect() {
        if (mClosed || mEventLoop.isShuttingDown()) {
            return;
        }
        // The jitter keeps clients of a failed server from reconnecting all at once.
        long delayMillis =
                ThreadLocalRandom.current().nextLong(mBackoffMillis / 2 + 1) + mBackoffMillis / 2;
        mBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, mBackoffMillis * 2);
        try {
            mEventLoop.schedule(
                    ThreadFailures.guardTask(this::connect), delayMillis, TimeUnit.MILLISECONDS);
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

    /** Records the open link and forwards its events; called in the event loop. */
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
