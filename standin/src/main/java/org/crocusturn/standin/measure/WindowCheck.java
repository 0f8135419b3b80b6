package org.crocusturn.standin.measure;

import java.util.Arrays;

/** Counts how many of some times fall into any window of a length. */
public final class WindowCheck {
    private static final double NANOS_PER_SECOND = 1e9;

    private WindowCheck() {}

    /**
     * Returns the greatest number of times in any window.
     *
     * @param times times in nanoseconds, in any order
     * @param windowNanos length of the window; both of its ends belong to it
     */
    public static int most(long[] times, long windowNanos) {
        long[] sorted = times.clone();
        Arrays.sort(sorted);
        int most = 0;
        int first = 0;
        for (int last = 0; last < sorted.length; last++) {
            while (sorted[last] - sorted[first] > windowNanos) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Returns how many requests a rate and a burst allow in a window. */
    public static double allowed(double perSecond, long burst, long windowNanos) {
        return burst + perSecond * windowNanos / NANOS_PER_SECOND;
    }
}
