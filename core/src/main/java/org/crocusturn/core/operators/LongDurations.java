package org.crocusturn.core.operators;

import java.time.Duration;

/** Limits durations of a configuration to values that hosts can convert to nanoseconds. */
public final class LongDurations {
    /** The sum of this and any steady time fits in 64 bits of nanoseconds. */
    public static final Duration MAX = Duration.ofDays(365);

    private LongDurations() {}

    /** Returns the duration, or the maximum if it is longer. */
    public static Duration limit(Duration duration) {
        return duration.compareTo(MAX) <= 0 ? duration : MAX;
    }
}
