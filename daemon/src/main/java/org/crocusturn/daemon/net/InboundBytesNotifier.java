package org.crocusturn.daemon.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Notifies a connection of each read, before the bytes form a complete request. */
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
