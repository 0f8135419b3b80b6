package org.crocusturn.core.operators;

/**
 * Scores candidates for rendezvous hashing: the candidate with the highest score is chosen, and a
 * candidate that comes or goes moves only its own share.
 *
 * <p>The result depends on the names only, so all hosts and versions agree. Thread-safe.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /** Returns a 64-bit hash of a name. */
    public static long hash(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns the score of a candidate for a key, both given by their hashes; compare signed. */
    public static long score(long keyHash, long candidateHash) {
        return mix(keyHash * FNV_PRIME ^ Long.rotateLeft(candidateHash, 32));
    }

    /** Returns the score of a candidate for a key. */
    public static long score(String key, String candidate) {
        return score(hash(key), hash(candidate));
    }

    // The finalizer of SplitMix64: FNV alone leaves names that differ in the last letter close.
    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
