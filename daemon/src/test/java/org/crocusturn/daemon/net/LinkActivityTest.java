package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against links whose loss goes unnoticed and against idle links that cost much. */
class LinkActivityTest {
    private static final int MESSAGE = 400;
    private static final int HEARTBEAT = 28;

    private static long millis(long value) {
        return Duration.ofMillis(value).toNanos();
    }

    @ParameterizedTest
    @CsvSource({
        // Read and written message or heartbeat at 100 ms, heartbeat due, lost.
        "0, 0, 700, 3000",
        "0, 28, 800, 3000",
        "0, 400, 800, 1100",
        "28, 0, 700, 3100",
        "400, 0, 300, 3100",
    })
    void decidesFromLatestActivity(int read, int written, long heartbeatDue, long lost) {
        LinkActivity activity = LinkActivity.startingAt(0);
        activity = read > 0 ? activity.withRead(read, millis(100)) : activity;
        activity = written > 0 ? activity.withWritten(written, millis(100)) : activity;
        assertEquals(false, activity.isHeartbeatDue(millis(heartbeatDue) - 1));
        assertEquals(true, activity.isHeartbeatDue(millis(heartbeatDue)));
        assertEquals(false, activity.isLost(millis(lost) - 1));
        assertEquals(true, activity.isLost(millis(lost)));
        assertEquals(millis(Math.min(heartbeatDue, lost)), activity.nextNanos());
    }

    /** Later messages must not postpone the loss of a link that answers none of them. */
    @ParameterizedTest
    @CsvSource({"1", "5", "40"})
    void countsFromFirstUnansweredMessage(int messages) {
        LinkActivity activity = LinkActivity.startingAt(0);
        for (int i = 0; i < messages; i++) {
            activity = activity.withWritten(MESSAGE, millis(100 + 20 * i));
        }
        assertEquals(true, activity.isLost(millis(1_100)));
        assertEquals(false, activity.withRead(HEARTBEAT, millis(1_000)).isLost(millis(3_999)));
    }

    /** Two idle processes must not answer each other's heartbeats. */
    @ParameterizedTest
    @CsvSource({"60, 90"})
    void sendsFewHeartbeatsWithoutMessages(int seconds, int maximum) {
        LinkActivity one = LinkActivity.startingAt(0);
        LinkActivity other = LinkActivity.startingAt(millis(350));
        int sent = 0;
        for (long now = millis(360); now < Duration.ofSeconds(seconds).toNanos(); ) {
            if (one.isHeartbeatDue(now)) {
                one = one.withWritten(HEARTBEAT, now);
                other = other.withRead(HEARTBEAT, now);
                sent++;
            }
            now += millis(10);
            if (other.isHeartbeatDue(now)) {
                other = other.withWritten(HEARTBEAT, now);
                one = one.withRead(HEARTBEAT, now);
            }
        }
        assertEquals(true, sent <= maximum, "heartbeats of one process: " + sent);
    }
}
