package org.crocusturn.daemon.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.daemon.wire.PeerMessageCodec;

/**
 * Channel handler of an open link: authenticates frames, decodes messages and sends heartbeats.
 *
 * <p>An empty payload is a heartbeat. Confined to the event loop of the link.
 */
final class LinkMessageHandler extends ChannelDuplexHandler {
    private static final Logger LOG = LogManager.getLogger(LinkMessageHandler.class);

    private final PeerLink mLink;
    private final FrameAuthenticator mOutboundAuthenticator;
    private final FrameAuthenticator mInboundAuthenticator;
    private final PeerLinkHandler mHandler;

    LinkMessageHandler(
            PeerLink link,
            FrameAuthenticator outbound,
            FrameAuthenticator inbound,
            PeerLinkHandler handler) {
        mLink = link;
        mOutboundAuthenticator = outbound;
        mInboundAuthenticator = inbound;
        mHandler = handler;
    }

    void notifyOpen() {
        mHandler.onOpen(mLink);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        ByteBuf payload = (ByteBuf) message;
        try {
            ByteBuf frame =
                    context.alloc()
                            .buffer(payload.readableBytes() + FrameAuthenticator.OVERHEAD_BYTES);
            mOutboundAuthenticator.sign(payload, frame);
            context.write(frame, promise);
        } finally {
            payload.release();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf frame = (ByteBuf) message;
        try {
            onFrame(context, frame);
        } finally {
            frame.release();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE) {
                closeLink(context, "no data received within the read timeout");
            } else if (context.channel().isWritable()) {
                context.channel().writeAndFlush(Unpooled.EMPTY_BUFFER);
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mHandler.onClosed(mLink);
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ChannelFailures.report(cause);
        closeLink(context, cause.toString());
    }

    private void onFrame(ChannelHandlerContext context, ByteBuf frame) {
        if (!context.channel().isActive()) {
            return;
        }
        byte[] payload = mInboundAuthenticator.verify(frame);
        if (payload == null) {
            closeLink(context, "a frame was modified, repeated or received out of order");
        } else if (payload.length > 0) {
            mHandler.onMessage(mLink, PeerMessageCodec.decode(payload));
        }
    }

    private void closeLink(ChannelHandlerContext context, String reason) {
        if (context.channel().isActive()) {
            LOG.info("net: closed the link with {}: {}", mLink.peer(), reason);
        }
        context.close();
    }
}
