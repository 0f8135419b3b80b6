package org.crocusturn.daemon.net;

import java.time.Duration;

/** Protocol version, size limits and timeouts of links; the same at both ends. */
final class LinkLimits {
    /** Version of the handshake and of the frame format. */
    static final int PROTOCOL_VERSION = 1;

    /** Maximum encoded size of a message; a snapshot of the control state must fit. */
    static final int MAX_MESSAGE_BYTES = 16 << 20;

    /** Maximum size of a frame before the remote process is authenticated. */
    static final int MAX_HANDSHAKE_BYTES = 512;

    /** Size of a link's write buffer above which the link accepts no messages. */
    static final int WRITE_BUFFER_HIGH_BYTES = 4 << 20;

    /** Size of a link's write buffer below which the link accepts messages again. */
    static final int WRITE_BUFFER_LOW_BYTES = 1 << 20;

    /** Maximum connections of a server; exceeds the hosts of the largest planned deployment. */
    static final int MAX_CONNECTIONS = 20_000;

    /** Time within which the handshake must complete. */
    static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

    /** Time after a received message within which a heartbeat is sent, if nothing else is. */
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(200);

    /** Time after a sent message without a received byte after which a link is closed. */
    static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Interval of heartbeats on a link without messages. Processes of earlier versions close a link
     * after 1 s without a byte.
     */
    static final Duration IDLE_HEARTBEAT_INTERVAL = Duration.ofMillis(700);

    /** Time without a received byte after which a link without messages is closed. */
    static final Duration IDLE_READ_TIMEOUT = Duration.ofSeconds(3);

    /** Size of the length field of a frame. */
    static final int LENGTH_FIELD_BYTES = 4;

    /** Size of a frame with an empty payload. */
    static final int HEARTBEAT_BYTES = LENGTH_FIELD_BYTES + FrameAuthenticator.OVERHEAD_BYTES;

    private LinkLimits() {}
}
