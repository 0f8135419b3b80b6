package org.crocusturn.standin.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** Finds loopback ports that are currently free. */
public final class FreePorts {
    /** The lowest port that is tried; most registered ports of services are below it. */
    static final int MIN_PORT = 20_000;

    /**
     * The highest port that is tried. Linux assigns ports from 32768 on to outgoing connections, so
     * an outgoing connection of another process cannot take a port between the search and its use.
     */
    static final int MAX_PORT = 32_767;

    private FreePorts() {}

    /**
     * Returns distinct addresses on 127.0.0.1. Another process can still start to listen on one of
     * them before it is used.
     *
     * @param count number of ports, at most the size of the port range
     */
    public static List<InetSocketAddress> find(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            InetAddress loopback = InetAddress.getByName("127.0.0.1");
            int rangeSize = MAX_PORT - MIN_PORT + 1;
            int firstOffset = ThreadLocalRandom.current().nextInt(rangeSize);
            Stream.iterate(0, n -> n < rangeSize, n -> n + 1)
                    .map(n -> tryListen(loopback, MIN_PORT + (firstOffset + n) % rangeSize))
                    .flatMap(Optional::stream)
                    .limit(count)
                    .forEach(sockets::add);
            if (sockets.size() < count) {
                throw new IllegalStateException(
                        "only " + sockets.size() + " of " + count + " loopback ports are free");
            }
            return sockets.stream()
                    .map(s -> new InetSocketAddress(s.getInetAddress(), s.getLocalPort()))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            sockets.forEach(FreePorts::close);
        }
    }

    /** Listens on a port; returns empty if the port is in use. */
    private static Optional<ServerSocket> tryListen(InetAddress address, int port) {
        try {
            return Optional.of(new ServerSocket(port, 1, address));
        } catch (BindException e) {
            return Optional.empty();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
