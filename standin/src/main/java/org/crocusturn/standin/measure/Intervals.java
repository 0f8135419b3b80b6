package org.crocusturn.standin.measure;

import java.util.Arrays;
import java.util.OptionalLong;
import java.util.stream.IntStream;

/** Computes intervals between successive times. */
public final class Intervals {
    private Intervals() {}

    /**
     * Returns the longest interval between successive times that ends after {@code endsAfter} and
     * begins before {@code beginsBefore}; empty if there is no such interval.
     *
     * @param times times in any order and unit
     * @param endsAfter exclusive lower bound of the end of the interval
     * @param beginsBefore exclusive upper bound of the beginning of the interval
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
