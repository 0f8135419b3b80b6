package org.crocusturn.core.platform;

import java.time.Duration;
import java.util.Objects;

/**
 * How usage is counted and reported.
 *
 * @param window length of a window
 * @param tolerance share by which the count of a workspace in a window may differ from the truth
 * @param lateness time after the end of a window at which its report is late
 */
public record MeteringSettings(Duration window, double tolerance, Duration lateness) {
    /** Checks that the durations are positive and the tolerance is between 0 and 1. */
    public MeteringSettings {
        Objects.requireNonNull(window, "window");
        Objects.requireNonNull(lateness, "lateness");
        if (!isPositive(window) || !isPositive(lateness)) {
            throw new IllegalArgumentException(
                    "window " + window + " and lateness " + lateness + " must be positive");
        }
        if (!(tolerance > 0 && tolerance < 1)) {
            throw new IllegalArgumentException(
                    "tolerance must be above 0 and below 1, is " + tolerance);
        }
    }

    private static boolean isPositive(Duration duration) {
        return !duration.isNegative() && !duration.isZero();
    }
}
