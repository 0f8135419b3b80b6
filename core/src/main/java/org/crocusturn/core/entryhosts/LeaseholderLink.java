package org.crocusturn.core.entryhosts;

/**
 * What an entry host knows of its link to a leaseholder.
 *
 * @param open whether the link accepts messages
 * @param lastBytesNanos time of the last bytes that arrived over it, in nanoseconds; the time at
 *     which it opened if there were none; meaningful only if it is open
 */
public record LeaseholderLink(boolean open, long lastBytesNanos) {
    /** No link is open. */
    public static final LeaseholderLink NONE = new LeaseholderLink(false, 0);

    /** Returns an open link. */
    public static LeaseholderLink open(long lastBytesNanos) {
        return new LeaseholderLink(true, lastBytesNanos);
    }
}
