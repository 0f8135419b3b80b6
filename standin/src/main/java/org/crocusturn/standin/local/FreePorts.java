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

/** Finds loopback ports that are free at the moment. */
public final class FreePorts {
    /** Is the lowest port that is tried; services with registered ports mostly lie below. */
    static final int MIN_PORT = 20_000;

    /**
     * Is the highest port that is tried. Linux draws the ports of outgoing connections from 32768
     * on, so such a connection of another process takes no port between the search and its use.
     */
    static final int MAX_PORT = 32_767;

    private FreePorts() {}

    /**
     * Returns different addresses on 127.0.0.1; another process that listens could still take one.
     *
     * @param count number of ports; at most the size of the range
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
                        "only " + sockets.size() + " of " + count + " ports are free");
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

    /** Listens on a port; empty if another socket has it. */
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
