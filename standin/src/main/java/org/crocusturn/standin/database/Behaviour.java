package org.crocusturn.standin.database;

import java.util.List;
import java.util.stream.Stream;

/**
 * Is how a stand-in behaves at the moment; it can be changed while the stand-in runs.
 *
 * @param connectMillis time that opening a session takes
 * @param statementMillis time that a statement occupies its slot before it runs
 * @param lagMillis least age of an entry when a replica applies it
 * @param replicationPaused whether replicas of this endpoint stand still
 * @param statusSilent whether the status port leaves requests unanswered
 * @param faults faults that are left
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

    /** Checks the times and copies the faults. */
    public Behaviour {
        if (connectMillis < 0 || statementMillis < 0 || lagMillis < 0) {
            throw new IllegalArgumentException("times must not be negative");
        }
        faults = List.copyOf(faults);
    }

    /** Returns a copy with another time for opening a session. */
    public Behaviour withConnectMillis(long millis) {
        return new Behaviour(
                millis, statementMillis, lagMillis, replicationPaused, statusSilent, faults);
    }

    /** Returns a copy with another time for a statement. */
    public Behaviour withStatementMillis(long millis) {
        return new Behaviour(
                connectMillis, millis, lagMillis, replicationPaused, statusSilent, faults);
    }

    /** Returns a copy with another lag. */
    public Behaviour withLagMillis(long millis) {
        return new Behaviour(
                connectMillis, statementMillis, millis, replicationPaused, statusSilent, faults);
    }

    /** Returns a copy whose replicas stand still or go on. */
    public Behaviour withReplicationPaused(boolean paused) {
        return new Behaviour(
                connectMillis, statementMillis, lagMillis, paused, statusSilent, faults);
    }

    /** Returns a copy whose status port is silent or not. */
    public Behaviour withStatusSilent(boolean silent) {
        return new Behaviour(
                connectMillis, statementMillis, lagMillis, replicationPaused, silent, faults);
    }

    /** Returns a copy with other faults. */
    public Behaviour withFaults(List<Fault> newFaults) {
        return new Behaviour(
                connectMillis,
                statementMillis,
                lagMillis,
                replicationPaused,
                statusSilent,
                newFaults);
    }

    /** Returns a copy in which one request less meets a fault. */
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
