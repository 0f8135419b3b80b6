package org.crocusturn.core.platform;

import java.time.Duration;
import java.util.Objects;

/**
 * Divides true time into windows of usage. Window n begins n window lengths after the start of
 * 1970.
 *
 * @param length length of a window, in whole milliseconds
 */
public record UsageWindows(Duration length) {
    /** Time after the end of a window for which its counts are kept. */
    public static final Duration RETENTION = Duration.ofSeconds(15);

    /** Checks that a window lasts a positive number of milliseconds. */
    public UsageWindows {
        Objects.requireNonNull(length, "length");
        if (length.toMillis() <= 0 || !length.equals(Duration.ofMillis(length.toMillis()))) {
            throw new IllegalArgumentException(
                    "a window must last a positive number of milliseconds, is " + length);
        }
    }

    /** Returns the number of the window of a true time in milliseconds since 1970. */
    public long numberAt(long trueTimeMillis) {
        return Math.floorDiv(trueTimeMillis, length.toMillis());
    }

    /** Returns the true time at which a window begins, in milliseconds since 1970. */
    public long beginMillis(long number) {
        return number * length.toMillis();
    }

    /** Returns the true time at which a window ends, in milliseconds since 1970. */
    public long endMillis(long number) {
        return beginMillis(number + 1);
    }

    /**
     * Returns whether the counts of a window are kept at a true time. A window that begins later
     * than the retention time from now was derived from a clock that was wrong.
     */
    public boolean isKept(long number, long trueTimeMillis) {
        long retention = RETENTION.toMillis();
        return endMillis(number) + retention > trueTimeMillis
                && beginMillis(number) - retention < trueTimeMillis;
    }

    /** Returns the maximum number of consecutive windows that are kept at the same time. */
    public int keptWindows() {
        long retention = 2 * RETENTION.toMillis();
        return Math.toIntExact((retention + length.toMillis() - 1) / length.toMillis() + 1);
    }
}
