package org.crocusturn.core.operators;

/**
 * The rate limit of a workspace, which applies to the total across all hosts.
 *
 * @param perSecond requests per second, more than 0
 * @param burst maximum number of requests in a burst, at least 1
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
