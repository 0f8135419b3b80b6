package org.crocusturn.standin.measure;

import java.time.Duration;

/**
 * Are the options of one run.
 *
 * @param deployment name of the deployment, a folder of examples
 * @param seed seed of the load
 * @param duration length of the load
 * @param rateFactor factor on the configured rates and bursts
 */
public record MeasureOptions(String deployment, long seed, Duration duration, double rateFactor) {
    /** Checks the ranges. */
    public MeasureOptions {
        if (duration.isNegative() || duration.isZero() || !(rateFactor > 0)) {
            throw new IllegalArgumentException("length and factor must be more than 0");
        }
    }
}
