package org.crocusturn.daemon.net;

import java.time.Duration;

/** Holds the figures that both ends of a link agree on. */
final class LinkLimits {
    /** Version of the handshake and the frames. */
    static final int PROTOCOL_VERSION = 1;

    /** Longest encoded message; a snapshot of the control state has to fit, in bytes. */
    static final int MAX_MESSAGE_BYTES = 16 << 20;

    /** Longest frame before the other end has proved that it belongs to the system, in bytes. */
    static final int MAX_HANDSHAKE_BYTES = 512;

    /** Bytes that wait in a link's buffer before it takes no more messages. */
    static final int WRITE_BUFFER_HIGH_BYTES = 4 << 20;

    /** Bytes in a link's buffer below which it takes messages again. */
    static final int WRITE_BUFFER_LOW_BYTES = 1 << 20;

    /** Connections that a server keeps; more than the hosts of the largest planned deployment. */
    static final int MAX_CONNECTIONS = 20_000;

    /** Time for the handshake. */
    static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

    /** Time without a frame after which a heartbeat is sent. */
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(200);

    /** Time without a received byte after which a link counts as dead. */
    static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    /** Length of the length field of a frame, in bytes. */
    static final int LENGTH_FIELD_BYTES = 4;

    private LinkLimits() {}
}
