package org.crocusturn.daemon.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.daemon.wire.PeerMessageCodec;

/** {@link PeerLink} over a Netty channel. Thread-safe. */
final class NettyPeerLink implements PeerLink {
    private static final Logger LOG = LogManager.getLogger(NettyPeerLink.class);

    private final Channel mChannel;
    private final HostId mPeer;

    private NettyPeerLink(Channel channel, HostId peer) {
        mChannel = channel;
        mPeer = peer;
    }

    static NettyPeerLink of(Channel channel, HostId peer) {
        return new NettyPeerLink(channel, peer);
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
        mChannel.writeAndFlush(Unpooled.wrappedBuffer(bytes), mChannel.voidPromise());
        return true;
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
