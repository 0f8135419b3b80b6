package org.crocusturn.standin.measure;

import java.util.Arrays;
import java.util.OptionalLong;
import java.util.stream.IntStream;

/** Finds the longest interval between successive times. */
public final class Intervals {
    private Intervals() {}

    /**
     * Returns the longest interval between two successive times that ends after a moment and begins
     * before another; empty if no time is later than the first moment or none is earlier.
     *
     * @param times times in any order and any unit
     * @param endsAfter the interval has to end after this moment
     * @param beginsBefore the interval has to begin before this moment
     */
    public static OptionalLong longest(long[] times, long endsAfter, long beginsBefore) {
        long[] sorted = times.clone();
        Arrays.sort(sorted);
        return IntStream.range(1, sorted.length)
                .filter(n -> sorted[n] > endsAfter && sorted[n - 1] < beginsBefore)
                .mapToLong(n -> sorted[n] - sorted[n - 1])
                .max();
    }
}
