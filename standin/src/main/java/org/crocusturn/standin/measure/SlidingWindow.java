package org.crocusturn.standin.measure;

import java.util.Arrays;

/** Counts how many of some times fall into any window of a length. */
public final class SlidingWindow {
    private static final double NANOS_PER_SECOND = 1e9;

    private SlidingWindow() {}

    /**
     * Returns the greatest number of times in any window.
     *
     * @param times times in nanoseconds, in any order
     * @param windowNanos length of the window; both of its ends belong to it
     */
    public static int maxCount(long[] times, long windowNanos) {
        long[] sorted = times.clone();
        Arrays.sort(sorted);
        int max = 0;
        int first = 0;
        for (int last = 0; last < sorted.length; last++) {
            while (sorted[last] - sorted[first] > windowNanos) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    /** Returns how many requests a rate and a burst allow in a window. */
    public static double allowedCount(double perSecond, long burst, long windowNanos) {
        return burst + perSecond * windowNanos / NANOS_PER_SECOND;
    }
}
