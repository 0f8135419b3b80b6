package org.crocusturn.core.endpoints;

/**
 * Limits on the use of one database by its leaseholder.
 *
 * @param slots maximum number of statements that run concurrently
 * @param connections maximum number of open connections
 */
public record CopyLimits(int slots, int connections) {
    /** Rejects limits below 1. */
    public CopyLimits {
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "slots " + slots + " and connections " + connections + " must be at least 1");
        }
    }

    /**
     * Returns the limits for a database with the given capacity.
     *
     * <p>Half of the connections are reserved for the next leaseholder, which may connect while the
     * connections of a suspended predecessor are still open. At least one connection is allowed.
     *
     * @param slots number of statements that the database runs concurrently
     * @param connections number of connections that the database accepts
     */
    public static CopyLimits ofDatabase(int slots, int connections) {
        return new CopyLimits(slots, Math.max(1, connections / 2));
    }

    /** Returns how many connections transactions may pin; one is reserved for other statements. */
    public int transactions() {
        return Math.max(1, connections - 1);
    }
}
