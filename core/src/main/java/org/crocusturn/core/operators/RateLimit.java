package org.crocusturn.core.operators;

/**
 * Limits the requests of a workspace across all hosts together.
 *
 * @param perSecond requests per second, more than 0
 * @param burst greatest number of requests at once, at least 1
 */
public record RateLimit(double perSecond, long burst) {
    /** Checks the ranges. */
    public RateLimit {
        if (!(perSecond > 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException("rate " + perSecond + " must be more than 0");
        }
        if (burst < 1) {
            throw new IllegalArgumentException("burst " + burst + " must be at least 1");
        }
    }
}
