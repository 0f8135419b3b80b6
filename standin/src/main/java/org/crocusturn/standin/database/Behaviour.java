package org.crocusturn.standin.database;

import java.util.List;
import java.util.stream.Stream;

/**
 * The delays and faults of a stand-in.
 *
 * @param connectMillis time that opening a session takes
 * @param statementMillis time that a statement occupies its slot before it runs
 * @param lagMillis minimum age of an entry before a replica applies it
 * @param replicationPaused whether the replicas of this endpoint stop pulling and applying entries
 * @param statusSilent whether the status port leaves requests unanswered
 * @param faults faults that have not been consumed yet
 */
public record Behaviour(
        long connectMillis,
        long statementMillis,
        long lagMillis,
        boolean replicationPaused,
        boolean statusSilent,
        List<Fault> faults) {
    /** No delays and no faults. */
    public static final Behaviour NORMAL = new Behaviour(0, 0, 0, false, false, List.of());

    /** Rejects negative times and copies the faults. */
    public Behaviour {
        if (connectMillis < 0 || statementMillis < 0 || lagMillis < 0) {
            throw new IllegalArgumentException("delays must not be negative");
        }
        faults = List.copyOf(faults);
    }

    /** Returns a copy with the given time for opening a session. */
    public Behaviour withConnectMillis(long millis) {
        return new Behaviour(
                millis, statementMillis, lagMillis, replicationPaused, statusSilent, faults);
    }

    /** Returns a copy with the given statement time. */
    public Behaviour withStatementMillis(long millis) {
        return new Behaviour(
                connectMillis, millis, lagMillis, replicationPaused, statusSilent, faults);
    }

    /** Returns a copy with the given lag. */
    public Behaviour withLagMillis(long millis) {
        return new Behaviour(
                connectMillis, statementMillis, millis, replicationPaused, statusSilent, faults);
    }

    /** Returns a copy with replication paused or not. */
    public Behaviour withReplicationPaused(boolean paused) {
        return new Behaviour(
                connectMillis, statementMillis, lagMillis, paused, statusSilent, faults);
    }

    /** Returns a copy with a silent or an answering status port. */
    public Behaviour withStatusSilent(boolean silent) {
        return new Behaviour(
                connectMillis, statementMillis, lagMillis, replicationPaused, silent, faults);
    }

    /** Returns a copy with the given faults. */
    public Behaviour withFaults(List<Fault> newFaults) {
        return new Behaviour(
                connectMillis,
                statementMillis,
                lagMillis,
                replicationPaused,
                statusSilent,
                newFaults);
    }

    /** Returns a copy in which a fault applies to one request fewer. */
    Behaviour withFaultConsumed(Fault fault) {
        int index = faults.indexOf(fault);
        return index < 0
                ? this
                : withFaults(
                        Stream.of(
                                        faults.subList(0, index).stream(),
                                        fault.times() > 1
                                                ? Stream.of(fault.withTimes(fault.times() - 1))
                                                : Stream.<Fault>empty(),
                                        faults.subList(index + 1, faults.size()).stream())
                                .flatMap(s -> s)
                                .toList());
    }
}
