package org.crocusturn.standin.measure;

/**
 * The proportions of the kinds of requests; the remainder are {@link RequestKind#READ}.
 *
 * @param writes share of writes, 0 to 1
 * @param agedReads share of {@link RequestKind#AGED_READ}, 0 to 1
 */
public record RequestMix(double writes, double agedReads) {
    /** Writes only. */
    public static final RequestMix WRITES_ONLY = new RequestMix(1, 0);

    /** Mostly reads, as the callers of both deployments send. */
    public static final RequestMix READ_MOSTLY = new RequestMix(0.1, 0.2);

    /** Validates the shares. */
    public RequestMix {
        if (!(writes >= 0 && agedReads >= 0 && writes + agedReads <= 1)) {
            throw new IllegalArgumentException(
                    "shares must not be negative and must add up to at most 1");
        }
    }

    /** Maps a uniformly distributed number from 0 to 1 to a kind. */
    RequestKind kind(double fraction) {
        if (fraction < writes) {
            return RequestKind.WRITE;
        }
        return fraction < writes + agedReads ? RequestKind.AGED_READ : RequestKind.READ;
    }
}
