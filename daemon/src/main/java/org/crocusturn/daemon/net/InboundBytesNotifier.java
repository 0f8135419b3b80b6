package org.crocusturn.daemon.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a connection that bytes arrive, before they form a request. */
final class InboundBytesNotifier extends ChannelInboundHandlerAdapter {
    private final HttpServerConnection mConnection;

    InboundBytesNotifier(HttpServerConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mConnection.onBytesReceived();
        context.fireChannelRead(message);
    }
}
