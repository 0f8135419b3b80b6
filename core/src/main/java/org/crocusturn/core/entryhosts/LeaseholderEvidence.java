package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;

/**
 * What an entry host knows about whether a leaseholder answers.
 *
 * <p>When the nine core hosts of a site lost power for 1.25 s, 58 entry hosts held the calls of
 * 2,780 sessions until the time limits of their routes. A process that has received a message sends
 * something within 200 ms, at least a heartbeat, and a heartbeat each 700 ms on a link without
 * messages. So silence shows long before a time limit, also if a call takes seconds to run.
 *
 * <p>Immutable. Times are monotonic and in nanoseconds.
 *
 * @param link state of the link to the leaseholder
 * @param lastBytesNanos time of the last bytes from the leaseholder; the time at which the host
 *     learned of it if there were none
 * @param unanswered whether a call was sent after the last bytes
 * @param oldestUnansweredNanos time of the first such call
 */
public record LeaseholderEvidence(
        Link link, long lastBytesNanos, boolean unanswered, long oldestUnansweredNanos) {
    /**
     * Time without bytes after a call that shows that a leaseholder is silent. Busy leaseholders
     * pause for up to 100 ms, beside the 200 ms until a heartbeat.
     */
    public static final long SILENCE_NANOS = Duration.ofMillis(350).toNanos();

    /** The same for a link without messages, on which heartbeats are 700 ms apart. */
    public static final long IDLE_SILENCE_NANOS = SILENCE_NANOS + Duration.ofMillis(700).toNanos();

    /** State of the link to a leaseholder. */
    public enum Link {
        /** The link has not been open since the host learned of the leaseholder. */
        CONNECTING,
        OPEN,
        /** The link was open and is not any more. */
        LOST
    }

    /** Checks that the link is not null. */
    public LeaseholderEvidence {
        Objects.requireNonNull(link, "link");
    }

    /** Returns the evidence at the time at which the host learns of a leaseholder. */
    public static LeaseholderEvidence startingAt(long nowNanos) {
        return new LeaseholderEvidence(Link.CONNECTING, nowNanos, false, 0);
    }

    /** Returns the evidence after the link was looked at. */
    public LeaseholderEvidence with(LeaseholderLink seen) {
        if (!seen.open()) {
            Link next = link == Link.CONNECTING ? Link.CONNECTING : Link.LOST;
            return new LeaseholderEvidence(next, lastBytesNanos, false, 0);
        }
        long bytes = later(lastBytesNanos, seen.lastBytesNanos());
        boolean answered = bytes - oldestUnansweredNanos > 0;
        return new LeaseholderEvidence(
                Link.OPEN, bytes, unanswered && !answered, oldestUnansweredNanos);
    }

    /** Returns the evidence after a call was sent. */
    public LeaseholderEvidence withCallSent(long nowNanos) {
        return unanswered ? this : new LeaseholderEvidence(link, lastBytesNanos, true, nowNanos);
    }

    /**
     * Returns the evidence after this process did not run for some time, in which it could not have
     * read what the leaseholder sent.
     */
    public LeaseholderEvidence withPause(long nanos, long nowNanos) {
        return new LeaseholderEvidence(
                link,
                earlier(lastBytesNanos + nanos, nowNanos),
                unanswered,
                earlier(oldestUnansweredNanos + nanos, nowNanos));
    }

    /** Returns whether the leaseholder does not answer although its link is open. */
    public boolean isSilent(long nowNanos) {
        return link == Link.OPEN
                && (unanswered && nowNanos - oldestUnansweredNanos >= SILENCE_NANOS
                        || nowNanos - lastBytesNanos >= IDLE_SILENCE_NANOS);
    }

    /** Returns the time by which the leases of the leaseholder end if it sends nothing any more. */
    public long leaseEndNanos() {
        return lastBytesNanos + LeaseTimes.EXPIRY_NANOS;
    }

    private static long earlier(long first, long second) {
        return first - second < 0 ? first : second;
    }

    private static long later(long first, long second) {
        return first - second > 0 ? first : second;
    }
}
