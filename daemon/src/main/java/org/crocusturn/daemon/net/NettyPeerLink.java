package org.crocusturn.daemon.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.core.ring.HeapShare;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.wire.PeerMessageCodec;

/** {@link PeerLink} over a Netty channel. Thread-safe. */
final class NettyPeerLink implements PeerLink {
    private static final Logger LOG = LogManager.getLogger(NettyPeerLink.class);

    /** Bytes that all links of this process have accepted and not sent. */
    private static final ByteBudget UNSENT_BYTES = HeapShare.EIGHTH.newBudget();

    /**
     * Size of a message up to which it may use the whole budget, in bytes. Larger ones may use half
     * of it, so that heartbeats pass while hosts do not read large updates.
     */
    private static final int SMALL_MESSAGE_BYTES = 16 << 10;

    private final Channel mChannel;
    private final HostId mPeer;
    private final ByteBudget mUnsentBytes;
    private volatile long mLastBytesNanos = SteadyClock.nanoTime();

    private NettyPeerLink(Channel channel, HostId peer, ByteBudget unsentBytes) {
        mChannel = channel;
        mPeer = peer;
        mUnsentBytes = unsentBytes;
    }

    static NettyPeerLink of(Channel channel, HostId peer) {
        return of(channel, peer, UNSENT_BYTES);
    }

    /** Creates a link whose unsent messages count in the given budget. */
    static NettyPeerLink of(Channel channel, HostId peer, ByteBudget unsentBytes) {
        return new NettyPeerLink(channel, peer, unsentBytes);
    }

    @Override
    public HostId peer() {
        return mPeer;
    }

    @Override
    public boolean send(PeerMessage message) {
        if (!mChannel.isActive() || !mChannel.isWritable()) {
            return false;
        }
        byte[] bytes = PeerMessageCodec.encode(message);
        if (bytes.length > LinkLimits.MAX_MESSAGE_BYTES) {
            LOG.error(
                    "net: {} of {} bytes for {} exceeds the limit of {} bytes",
                    message.getClass().getSimpleName(),
                    bytes.length,
                    mPeer,
                    LinkLimits.MAX_MESSAGE_BYTES);
            return false;
        }
        if (!tryReserve(bytes.length)) {
            return false;
        }
        mChannel.writeAndFlush(Unpooled.wrappedBuffer(bytes))
                .addListener(done -> mUnsentBytes.release(bytes.length));
        return true;
    }

    @Override
    public long lastBytesNanos() {
        return mLastBytesNanos;
    }

    /** Records the time at which bytes arrived, in nanoseconds of the steady clock. */
    void onBytes(long nanos) {
        mLastBytesNanos = nanos;
    }

    private boolean tryReserve(int size) {
        return size <= SMALL_MESSAGE_BYTES
                ? mUnsentBytes.tryReserve(size)
                : mUnsentBytes.tryReserve(size, mUnsentBytes.limitBytes() / 2)
                        || mUnsentBytes.tryReserveIfUnused(size);
    }

    @Override
    public void close() {
        mChannel.close();
    }

    @Override
    public String toString() {
        return "PeerLink[" + mPeer + "]";
    }
}
