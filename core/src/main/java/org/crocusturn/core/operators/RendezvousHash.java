package org.crocusturn.core.operators;

/**
 * Computes scores for rendezvous hashing. For each key the candidate with the highest score is
 * chosen, so that adding or removing a candidate moves only the keys of that candidate.
 *
 * <p>The scores depend only on the names, so that all hosts and versions choose the same candidate.
 * Thread-safe.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns a 64-bit hash of a name. */
    public static long hash(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * Returns the score of a candidate for a key, given their hashes. Scores compare as signed
     * numbers.
     */
    public static long score(long keyHash, long candidateHash) {
        return mix(keyHash * FNV_PRIME ^ Long.rotateLeft(candidateHash, 32));
    }

    /** Returns the score of a candidate for a key. */
    public static long score(String key, String candidate) {
        return score(hash(key), hash(candidate));
    }

    // The finalizer of SplitMix64. FNV alone gives similar hashes to names that differ only in
    // their last character.
    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
