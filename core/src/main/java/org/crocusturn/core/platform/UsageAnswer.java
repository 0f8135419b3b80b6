package org.crocusturn.core.platform;

/** Answer of the platform to a usage report. */
public enum UsageAnswer {
    /** The report was accepted, now or before. */
    ACCEPTED,
    /** The platform has seen a higher fencing number. */
    REFUSED,
    /** There were too many calls; the report was not taken. */
    LATER,
    /** No usable answer arrived; if the report was sent, it may still be taken, even much later. */
    UNKNOWN
}
