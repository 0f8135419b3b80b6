package org.crocusturn.core.endpoints;

/**
 * Limits the use of one database by its leaseholder.
 *
 * @param slots statements that may run at once
 * @param connections connections that may be open at once
 */
public record CopyLimits(int slots, int connections) {
    /** Checks the ranges. */
    public CopyLimits {
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "slots " + slots + " and connections " + connections + " must be at least 1");
        }
    }

    /**
     * Returns the limits for a database.
     *
     * <p>Half of the connections are left to a successor, which may connect while those of a frozen
     * predecessor are still open. The smallest database still gets one connection.
     *
     * @param slots statements that the database runs at once
     * @param connections connections that the database accepts
     */
    public static CopyLimits ofDatabase(int slots, int connections) {
        return new CopyLimits(slots, Math.max(1, connections / 2));
    }

    /** Returns how many connections transactions may pin; one is left for other work. */
    public int transactions() {
        return Math.max(1, connections - 1);
    }
}
