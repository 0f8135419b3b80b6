package org.crocusturn.daemon.net;

/**
 * Decides when a link needs a heartbeat and when it counts as lost.
 *
 * <p>A process that sends a message expects bytes in return soon, and a process that receives one
 * sends a heartbeat unless it has something else to send. A link without messages needs only the
 * occasional heartbeat: with a heartbeat each 200 ms on all links, the hosts of a large site would
 * spend most of their time on them.
 *
 * <p>Immutable. Times are monotonic and in nanoseconds.
 *
 * @param readNanos time of the latest read
 * @param writtenNanos time of the latest write
 * @param expectsBytes whether a message was sent after the latest read
 * @param expectsSinceNanos time of the first message after the latest read
 * @param owesBytes whether a message was read after the latest write
 * @param owesSinceNanos time of the first message that was read after the latest write
 */
record LinkActivity(
        long readNanos,
        long writtenNanos,
        boolean expectsBytes,
        long expectsSinceNanos,
        boolean owesBytes,
        long owesSinceNanos) {
    /** Returns the activity of a link that has just opened. */
    static LinkActivity startingAt(long nowNanos) {
        return new LinkActivity(nowNanos, nowNanos, false, 0, false, 0);
    }

    /** Returns the activity after bytes were read. */
    LinkActivity withRead(int bytes, long nowNanos) {
        // Heartbeats are not acknowledged, or two processes would answer each other for good.
        boolean owes = owesBytes || bytes > LinkLimits.HEARTBEAT_BYTES;
        return new LinkActivity(
                nowNanos, writtenNanos, false, 0, owes, owesBytes ? owesSinceNanos : nowNanos);
    }

    /** Returns the activity after a buffer was written. */
    LinkActivity withWritten(int bytes, long nowNanos) {
        boolean expects = expectsBytes || bytes > LinkLimits.HEARTBEAT_BYTES;
        return new LinkActivity(
                readNanos,
                nowNanos,
                expects,
                expectsBytes ? expectsSinceNanos : nowNanos,
                false,
                0);
    }

    /** Returns whether a heartbeat is due. */
    boolean isHeartbeatDue(long nowNanos) {
        return nowNanos - heartbeatDueNanos() >= 0;
    }

    /** Returns whether the peer has been silent for too long. */
    boolean isLost(long nowNanos) {
        return nowNanos - lostNanos() >= 0;
    }

    /** Returns the next time at which a heartbeat is due or the link is lost. */
    long nextNanos() {
        return earlier(heartbeatDueNanos(), lostNanos());
    }

    private long heartbeatDueNanos() {
        long idle = writtenNanos + LinkLimits.IDLE_HEARTBEAT_INTERVAL.toNanos();
        return owesBytes
                ? earlier(idle, owesSinceNanos + LinkLimits.HEARTBEAT_INTERVAL.toNanos())
                : idle;
    }

    private long lostNanos() {
        long idle = readNanos + LinkLimits.IDLE_READ_TIMEOUT.toNanos();
        return expectsBytes
                ? earlier(idle, expectsSinceNanos + LinkLimits.READ_TIMEOUT.toNanos())
                : idle;
    }

    private static long earlier(long first, long second) {
        return first - second < 0 ? first : second;
    }
}
