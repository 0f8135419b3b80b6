package org.crocusturn.standin.database;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.ring.BoundedRing;
import org.crocusturn.core.ring.Duty;

/** The pool of statement threads of one database; each runs one statement at a time. */
final class StatementSlots {
    private static final Logger LOG = LogManager.getLogger(StatementSlots.class);

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final List<Duty<Runnable>> mSlots;
    private final BoundedRing<Duty<Runnable>> mFreeSlots;

    private StatementSlots(List<Duty<Runnable>> slots) {
        mSlots = slots;
        mFreeSlots = BoundedRing.withCapacity(slots.size());
        slots.forEach(mFreeSlots::offer);
    }

    static StatementSlots start(String database, int count) {
        return new StatementSlots(
                IntStream.range(0, count)
                        .mapToObj(i -> startThread(database + "-slot-" + i))
                        .toList());
    }

    /** Starts a duty that runs the tasks offered to it. */
    static Duty<Runnable> startThread(String name) {
        return Duty.start(
                name,
                1_024,
                TaskHandler.INSTANCE,
                e -> LOG.error("standin: uncaught exception in duty {}", name, e));
    }

    /** Reserves a free slot; returns empty if all are reserved. */
    Optional<Duty<Runnable>> acquire() {
        try {
            return mFreeSlots.poll(0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Returns a reserved slot to the pool. */
    void release(Duty<Runnable> slot) {
        mFreeSlots.offer(slot);
    }

    /** Returns the number of reserved slots. */
    int reservedCount() {
        return mSlots.size() - mFreeSlots.size();
    }

    void stop() {
        mSlots.forEach(slot -> slot.stop(STOP_TIMEOUT));
    }
}
