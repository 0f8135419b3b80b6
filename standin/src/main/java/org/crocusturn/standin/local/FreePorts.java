package org.crocusturn.standin.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds loopback ports that are free at the moment. */
public final class FreePorts {
    private FreePorts() {}

    /** Returns different addresses on 127.0.0.1; another process could still take one. */
    public static List<InetSocketAddress> find(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int n = 0; n < count; n++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
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

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
