package org.crocusturn.standin.database;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.ring.BoundedRing;
import org.crocusturn.core.ring.Duty;

/** Are the threads of one database that each run one statement at a time. */
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

    /** Starts a duty that runs what it is handed. */
    static Duty<Runnable> startThread(String name) {
        return Duty.start(
                name, 1_024, TaskHandler.INSTANCE, e -> LOG.error("standin: {} failed", name, e));
    }

    /** Reserves a free slot. */
    Optional<Duty<Runnable>> acquire() {
        try {
            return mFreeSlots.poll(0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Returns a slot. */
    void release(Duty<Runnable> slot) {
        mFreeSlots.offer(slot);
    }

    /** Returns the number of slots that are reserved. */
    int reservedCount() {
        return mSlots.size() - mFreeSlots.size();
    }

    void stop() {
        mSlots.forEach(slot -> slot.stop(STOP_TIMEOUT));
    }
}
