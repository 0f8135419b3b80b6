package org.crocusturn.daemon.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.HostId;

/** Builds the handlers of a link before and after its handshake. */
final class LinkPipeline {
    private static final String DECODER = "decoder";
    private static final String HANDSHAKE = "handshake";

    /** Frames that are written before a flush while frames are read, so that replies share one. */
    private static final int FRAMES_BY_FLUSH = 64;

    private LinkPipeline() {}

    static void start(Channel channel, LinkHandshake handshake) {
        channel.pipeline()
                .addLast(DECODER, decoder(LinkLimits.MAX_HANDSHAKE_BYTES))
                .addLast(new LengthFieldPrepender(LinkLimits.LENGTH_BYTES))
                .addLast(HANDSHAKE, handshake);
    }

    /** Replaces the handshake by the handler of messages. */
    static void open(
            Channel channel,
            HostId peer,
            FrameSeal sending,
            FrameSeal receiving,
            PeerLinkHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addFirst(
                new IdleStateHandler(
                        LinkLimits.SILENCE.toMillis(),
                        LinkLimits.HEARTBEAT.toMillis(),
                        0,
                        TimeUnit.MILLISECONDS));
        pipeline.addFirst(new FlushConsolidationHandler(FRAMES_BY_FLUSH, true));
        LinkMessages messages =
                new LinkMessages(NettyPeerLink.of(channel, peer), sending, receiving, handler);
        pipeline.replace(HANDSHAKE, "messages", messages);
        messages.open();
        // The old decoder passes on what it has read but not decoded, so it is replaced last.
        pipeline.replace(
                DECODER, DECODER, decoder(LinkLimits.MAX_MESSAGE_BYTES + FrameSeal.OVERHEAD_BYTES));
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(
                maxFrameBytes, 0, LinkLimits.LENGTH_BYTES, 0, LinkLimits.LENGTH_BYTES);
    }
}
