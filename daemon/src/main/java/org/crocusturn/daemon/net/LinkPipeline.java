package org.crocusturn.daemon.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.crocusturn.core.HostId;

/** Configures the channel pipeline of a link for its handshake and for its messages. */
final class LinkPipeline {
    private static final String DECODER = "decoder";
    private static final String HANDSHAKE = "handshake";

    /** Maximum frames written during a read before a flush, so that replies share a flush. */
    private static final int MAX_FRAMES_PER_FLUSH = 64;

    private LinkPipeline() {}

    static void startHandshake(Channel channel, LinkHandshake handshake) {
        channel.pipeline()
                .addLast(DECODER, frameDecoder(LinkLimits.MAX_HANDSHAKE_BYTES))
                .addLast(new LengthFieldPrepender(LinkLimits.LENGTH_FIELD_BYTES))
                .addLast(HANDSHAKE, handshake);
    }

    /** Replaces the handshake handler with the message handler. */
    static void completeHandshake(
            Channel channel,
            HostId peer,
            FrameAuthenticator outbound,
            FrameAuthenticator inbound,
            PeerLinkHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        NettyPeerLink link = NettyPeerLink.of(channel, peer);
        pipeline.addFirst(new LinkWatchdog(link::onBytes));
        pipeline.addFirst(new FlushConsolidationHandler(MAX_FRAMES_PER_FLUSH, true));
        LinkMessageHandler messageHandler =
                new LinkMessageHandler(link, outbound, inbound, handler);
        pipeline.replace(HANDSHAKE, "messages", messageHandler);
        messageHandler.notifyOpen();
        // The old decoder forwards bytes that it has read but not decoded, so it is replaced last.
        pipeline.replace(
                DECODER,
                DECODER,
                frameDecoder(LinkLimits.MAX_MESSAGE_BYTES + FrameAuthenticator.OVERHEAD_BYTES));
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(
                maxFrameBytes, 0, LinkLimits.LENGTH_FIELD_BYTES, 0, LinkLimits.LENGTH_FIELD_BYTES);
    }
}
