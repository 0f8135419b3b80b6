package org.crocusturn.standin.measure;

/**
 * Is the share of each kind of request; the rest are plain reads.
 *
 * @param writes share of writes, 0 to 1
 * @param agedReads share of reads with a stated age, 0 to 1
 */
public record RequestMix(double writes, double agedReads) {
    /** Only writes. */
    public static final RequestMix WRITES_ONLY = new RequestMix(1, 0);

    /** Mostly reads, as the callers of both deployments send them. */
    public static final RequestMix READ_MOSTLY = new RequestMix(0.1, 0.2);

    /** Checks the shares. */
    public RequestMix {
        if (!(writes >= 0 && agedReads >= 0 && writes + agedReads <= 1)) {
            throw new IllegalArgumentException("the shares must lie between 0 and 1");
        }
    }

    /** Returns the kind for a number between 0 and 1. */
    RequestKind kind(double fraction) {
        if (fraction < writes) {
            return RequestKind.WRITE;
        }
        return fraction < writes + agedReads ? RequestKind.AGED_READ : RequestKind.READ;
    }
}
