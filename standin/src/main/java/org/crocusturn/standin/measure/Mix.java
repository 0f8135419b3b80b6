package org.crocusturn.standin.measure;

/**
 * Is the share of each kind of request; the rest are plain reads.
 *
 * @param writes share of writes, 0 to 1
 * @param agedReads share of reads with a stated age, 0 to 1
 */
public record Mix(double writes, double agedReads) {
    /** Only writes. */
    public static final Mix WRITES = new Mix(1, 0);

    /** Mostly reads, as the callers of both deployments send them. */
    public static final Mix USUAL = new Mix(0.1, 0.2);

    /** Checks the shares. */
    public Mix {
        if (!(writes >= 0 && agedReads >= 0 && writes + agedReads <= 1)) {
            throw new IllegalArgumentException("the shares must lie between 0 and 1");
        }
    }

    /** Returns the kind for a number between 0 and 1. */
    Kind kind(double chance) {
        if (chance < writes) {
            return Kind.WRITE;
        }
        return chance < writes + agedReads ? Kind.AGED_READ : Kind.READ;
    }
}
