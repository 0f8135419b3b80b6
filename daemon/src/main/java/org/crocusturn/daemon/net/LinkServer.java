package org.crocusturn.daemon.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.crocusturn.core.HostId;

/** Accepts links from other processes. Thread-safe. */
public final class LinkServer implements AutoCloseable {
    private final Channel mChannel;
    private final ChannelGroup mConnections;

    private LinkServer(Channel channel, ChannelGroup connections) {
        mChannel = channel;
        mConnections = connections;
    }

    /**
     * Binds an address and starts accepting links.
     *
     * @param threads I/O threads
     * @param address address to bind; port 0 selects a free port
     * @param self id of this host, sent to the remote processes
     * @param secret secret that the remote processes must know
     * @param handler receives the events of all links
     */
    public static LinkServer start(
            NetThreads threads,
            InetSocketAddress address,
            HostId self,
            SharedSecret secret,
            PeerLinkHandler handler) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        Channel channel =
                new ServerBootstrap()
                        .group(threads.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        LinkLimits.WRITE_BUFFER_LOW_BYTES,
                                        LinkLimits.WRITE_BUFFER_HIGH_BYTES))
                        .childHandler(initializer(self, secret, handler, connections))
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        return new LinkServer(channel, connections);
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /** Returns the number of connections, including those that are not authenticated yet. */
    public int connectionCount() {
        return mConnections.size();
    }

    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
        mConnections.close().awaitUninterruptibly();
    }

    private static ChannelInitializer<SocketChannel> initializer(
            HostId self, SharedSecret secret, PeerLinkHandler handler, ChannelGroup connections) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                if (connections.size() >= LinkLimits.MAX_CONNECTIONS) {
                    channel.close();
                    return;
                }
                connections.add(channel);
                LinkPipeline.startHandshake(
                        channel, new LinkHandshake(LinkRole.SERVER, self, secret, handler));
            }
        };
    }
}
