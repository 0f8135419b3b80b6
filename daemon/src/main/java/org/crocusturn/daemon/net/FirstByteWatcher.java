package org.crocusturn.daemon.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a connection that bytes arrive, before they form a request. */
final class FirstByteWatcher extends ChannelInboundHandlerAdapter {
    private final HttpServerConnection mConnection;

    FirstByteWatcher(HttpServerConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mConnection.onBytes();
        context.fireChannelRead(message);
    }
}
