package org.crocusturn.standin.measure;

import java.time.Duration;

/**
 * Are the options of one run.
 *
 * @param deployment name of the deployment, a folder of examples
 * @param seed seed of the load
 * @param length length of the load
 * @param factor factor on the configured rates and bursts
 */
public record MeasureOptions(String deployment, long seed, Duration length, double factor) {
    /** Checks the ranges. */
    public MeasureOptions {
        if (length.isNegative() || length.isZero() || !(factor > 0)) {
            throw new IllegalArgumentException("length and factor must be more than 0");
        }
    }
}
