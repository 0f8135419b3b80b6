package org.crocusturn.core.endpoints;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.PersistentMap;

/**
 * Estimates how long a call waits for a slot, from the time that calls of each kind occupy one.
 * Immutable.
 *
 * <p>Of the calls that arrive later, those of higher priority run first. They leave a call the part
 * of the slots that they have not used recently. Other later calls are left out, so that the
 * estimate is low rather than high.
 */
public final class WaitEstimate {
    /** Weight of a new observation. */
    private static final double WEIGHT = 0.1;

    /** Time constant of arrival rates; bursts of tenths of a second count little. */
    private static final double ARRIVAL_DECAY_NANOS = Duration.ofSeconds(2).toNanos();

    /** Part of the slots that calls of higher priority leave in any case, as the rates vary. */
    private static final double MIN_SHARE = 0.2;

    /** Time to open a connection before one was observed; a handshake takes 12 to 30 ms. */
    private static final double INITIAL_HANDSHAKE_NANOS = Duration.ofMillis(12).toNanos();

    private static final double MAX_HANDSHAKE_NANOS = Duration.ofMillis(100).toNanos();

    /** Routes up to this priority are urgent. */
    private static final int LAST_URGENT_PRIORITY = 1;

    private static final WaitEstimate UNKNOWN =
            new WaitEstimate(PersistentMap.empty(), PersistentMap.empty(), INITIAL_HANDSHAKE_NANOS);

    private final PersistentMap<Kind, Double> mServiceNanos;
    private final PersistentMap<Kind, Arrivals> mArrivals;
    private final double mHandshakeNanos;

    private WaitEstimate(
            PersistentMap<Kind, Double> serviceNanos,
            PersistentMap<Kind, Arrivals> arrivals,
            double handshakeNanos) {
        mServiceNanos = serviceNanos;
        mArrivals = arrivals;
        mHandshakeNanos = handshakeNanos;
    }

    /** Decayed number of calls that have arrived. */
    private record Arrivals(double count, long nanos) {
        double at(long nowNanos) {
            return count * Math.exp(-Math.max(0, nowNanos - nanos) / ARRIVAL_DECAY_NANOS);
        }
    }

    /**
     * Calls that take about the same time.
     *
     * @param priority priority of their route; 0 is the highest
     * @param needsPrimary whether only the primary can run them
     */
    public record Kind(int priority, boolean needsPrimary) {}

    /**
     * Work ahead of a call, as the time for which it occupies slots.
     *
     * @param primaryNanos work that only the primary can do
     * @param anyNanos work that any copy can do
     */
    public record Backlog(double primaryNanos, double anyNanos) {
        /** No work. */
        public static final Backlog NONE = new Backlog(0, 0);

        /** Returns the sum of two backlogs. */
        public Backlog plus(Backlog other) {
            return new Backlog(primaryNanos + other.primaryNanos, anyNanos + other.anyNanos);
        }
    }

    /**
     * Slots of the copies that accept statements.
     *
     * @param primary slots of the primary; 0 if none accepts writes
     * @param others slots of all other copies together
     */
    public record Slots(int primary, int others) {
        private int able(Kind kind) {
            return primary + (kind.needsPrimary() ? 0 : others);
        }
    }

    /** Returns an estimate without observations, by which no call waits. */
    public static WaitEstimate unknown() {
        return UNKNOWN;
    }

    /** Returns the estimate after a call has occupied a slot for some time. */
    public WaitEstimate withService(Kind kind, long nanos) {
        double mean =
                mServiceNanos.find(kind).map(old -> smooth(old, nanos)).orElse((double) nanos);
        return new WaitEstimate(mServiceNanos.with(kind, mean), mArrivals, mHandshakeNanos);
    }

    /** Returns the estimate after a connection was opened. */
    public WaitEstimate withHandshake(long nanos) {
        return new WaitEstimate(mServiceNanos, mArrivals, smooth(mHandshakeNanos, nanos));
    }

    /** Returns the estimate after the arrival of a call. */
    public WaitEstimate withArrival(Kind kind, long nowNanos) {
        double count = mArrivals.find(kind).map(a -> a.at(nowNanos)).orElse(0.0) + 1;
        return new WaitEstimate(
                mServiceNanos,
                mArrivals.with(kind, new Arrivals(count, nowNanos)),
                mHandshakeNanos);
    }

    /** Returns the part of the slots that calls of higher priority leave to a call. */
    private double share(Kind kind, Slots slots, long nowNanos) {
        double used =
                mArrivals
                        .entries()
                        .filter(e -> e.key().priority() < kind.priority())
                        .filter(e -> e.key().needsPrimary() || !kind.needsPrimary())
                        .mapToDouble(
                                e ->
                                        e.value().at(nowNanos)
                                                * serviceNanos(e.key())
                                                / ARRIVAL_DECAY_NANOS)
                        .sum();
        return Math.max(MIN_SHARE, 1 - used / slots.able(kind));
    }

    private static double smooth(double mean, double observed) {
        return mean + WEIGHT * (observed - mean);
    }

    /** Returns the time for which a call occupies a slot; 0 if it is not known. */
    public double serviceNanos(Kind kind) {
        return mServiceNanos.find(kind).orElse(0.0);
    }

    /** Returns the time that it takes to open a connection. */
    public double handshakeNanos() {
        return mHandshakeNanos;
    }

    /** Returns the work of some calls of the same kind. */
    public Backlog work(Kind kind, int calls) {
        double nanos = calls * serviceNanos(kind);
        return kind.needsPrimary() ? new Backlog(nanos, 0) : new Backlog(0, nanos);
    }

    /**
     * Returns how long a call waits for the work ahead of it; a call without any is never refused,
     * so that the observations go on. Empty if no copy can run it at present.
     *
     * @param kind kind of the call
     * @param ahead work of the calls that run before it
     * @param slots slots of the copies
     * @param connected whether its workspace has a connection to one of them
     * @param nowNanos monotonic time
     */
    public Optional<Duration> waitTime(
            Kind kind, Backlog ahead, Slots slots, boolean connected, long nowNanos) {
        Objects.requireNonNull(ahead, "ahead");
        if (slots.able(kind) == 0) {
            return Optional.empty();
        }
        double slotNanos = drainNanos(kind, ahead, slots) / share(kind, slots, nowNanos);
        // Bounded, so that slow openings in the past do not keep all calls from opening one.
        double handshake = connected ? 0 : Math.min(mHandshakeNanos, MAX_HANDSHAKE_NANOS);
        return Optional.of(Duration.ofNanos((long) (slotNanos + handshake)));
    }

    /** Returns the time in which the copies finish the work that may delay a call. */
    private static double drainNanos(Kind kind, Backlog ahead, Slots slots) {
        if (kind.needsPrimary()) {
            return ahead.primaryNanos() / slots.primary();
        }
        // A primary with much work of its own does not delay reads that the other copies can run.
        double all = (ahead.primaryNanos() + ahead.anyNanos()) / (slots.primary() + slots.others());
        return slots.others() == 0 ? all : Math.min(all, ahead.anyNanos() / slots.others());
    }

    /**
     * Returns after which time a refused call should be sent again: when the backlog will be gone,
     * spread over half as much again so that callers do not return at the same time.
     *
     * @param kind kind of the call
     * @param backlog work of all waiting calls
     * @param slots slots of the copies
     * @param spread where in its part of the additional time the call returns, from 0 to 1; urgent
     *     calls have the first half and others the second one
     */
    public Duration retryAfter(Kind kind, Backlog backlog, Slots slots, double spread) {
        double gone = slots.able(kind) == 0 ? 0 : drainNanos(kind, backlog, slots);
        double position = (kind.priority() <= LAST_URGENT_PRIORITY ? spread : 1 + spread) / 2;
        return Duration.ofNanos((long) (gone * (1 + position / 2)));
    }
}
