package org.crocusturn.standin.measure;

import java.time.Duration;

/**
 * The options of one run.
 *
 * @param deployment name of the deployment, a subfolder of {@code examples}
 * @param seed seed of the load
 * @param duration length of the load
 * @param rateFactor factor by which configured rates and bursts are multiplied
 */
public record MeasureOptions(String deployment, long seed, Duration duration, double rateFactor) {
    /** Validates the ranges. */
    public MeasureOptions {
        if (duration.isNegative() || duration.isZero() || !(rateFactor > 0)) {
            throw new IllegalArgumentException("duration and rateFactor must be greater than 0");
        }
    }
}
