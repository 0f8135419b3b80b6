package org.crocusturn.core.entryhosts;

/** Estimates how many statements per second a host can relay as a leaseholder. */
public final class RelayCapacity {
    /**
     * Bytes that a statement takes in each direction of the leaseholder's link: its call and the
     * answer of the endpoint arrive, the command and the reply leave.
     */
    private static final double BYTES_PER_STATEMENT = 1_000;

    /** Processor time of the leaseholder for a statement, in seconds. */
    private static final double PROCESSOR_SECONDS_PER_STATEMENT = 0.002;

    private static final double BYTES_PER_MEGABIT = 125_000;

    private RelayCapacity() {}

    /**
     * Returns the capacity of a host in statements per second; 0 if nothing is known about it.
     *
     * @param cores processor time available to the host per second; 0 if not known
     * @param linkMbps rate of the host's link in Mbit/s; 0 if not known
     */
    public static int of(double cores, double linkMbps) {
        double byProcessor = limit(cores / PROCESSOR_SECONDS_PER_STATEMENT);
        double byLink = limit(linkMbps * BYTES_PER_MEGABIT / BYTES_PER_STATEMENT);
        double capacity = Math.min(byProcessor, byLink);
        return Double.isInfinite(capacity)
                ? 0
                : (int) Math.min(Integer.MAX_VALUE, Math.round(capacity));
    }

    private static double limit(double statementsPerSecond) {
        return statementsPerSecond > 0 ? statementsPerSecond : Double.POSITIVE_INFINITY;
    }
}
