package org.crocusturn.standin.measure;

import java.util.Arrays;

/** Counts events in a sliding window of fixed length. */
public final class SlidingWindow {
    private static final double NANOS_PER_SECOND = 1e9;

    private SlidingWindow() {}

    /**
     * Returns the maximum number of events in any window.
     *
     * @param times times of the events in nanoseconds, in any order
     * @param windowNanos length of the window, both ends included
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

    /** Returns the number of requests that a rate and a burst allow in a window. */
    public static double allowedCount(double perSecond, long burst, long windowNanos) {
        return burst + perSecond * windowNanos / NANOS_PER_SECOND;
    }
}
