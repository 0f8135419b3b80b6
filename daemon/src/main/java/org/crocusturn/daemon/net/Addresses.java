package org.crocusturn.daemon.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.crocusturn.core.Names;

/** Parses and formats socket addresses such as {@code 127.0.0.1:7000}. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    /** The IP address, which {@link NetUtil} checks, and the port. */
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9.]{7,15}|\\[[0-9a-fA-F:.]{2,45}]):([0-9]{1,5})");

    private Addresses() {}

    /**
     * Parses an address. Never looks up a name, so that it does not block.
     *
     * @throws IllegalArgumentException if the text is not an IP address, a colon and a port
     */
    public static InetSocketAddress parse(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            throw invalid(text);
        }
        String host = matcher.group(1);
        boolean bracketed = host.startsWith("[");
        String ip = bracketed ? host.substring(1, host.length() - 1) : host;
        boolean valid = bracketed ? NetUtil.isValidIpV6Address(ip) : NetUtil.isValidIpV4Address(ip);
        int port = Integer.parseInt(matcher.group(2));
        if (!valid || port > MAX_PORT) {
            throw invalid(text);
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(NetUtil.createByteArrayFromIpAddressString(ip)), port);
        } catch (UnknownHostException e) {
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
                "address " + Names.quote(text) + " must be an IP address, a colon and a port");
    }
}
