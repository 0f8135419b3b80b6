package org.crocusturn.daemon.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats socket addresses such as {@code 127.0.0.1:7000}. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if the text is not an IP address, a colon and a port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw invalid(text);
        }
        String host = text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            throw invalid(text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw invalid(text);
            }
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw invalid(text);
        }
    }

    /** Formats an address. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static IllegalArgumentException invalid(String text) {
        return new IllegalArgumentException(
                "address \"" + text + "\" must be an IP address, a colon and a port");
    }
}
