package org.crocusturn.core.controlhosts;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that advances to the time of the next task. Tasks of the same time keep their order. */
final class VirtualTime {
    private record Event(long atNanos, long sequence, Runnable task) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long mNowNanos;
    private long mNextEventSequence;

    long nowNanos() {
        return mNowNanos;
    }

    void schedule(long delayNanos, Runnable task) {
        mEvents.add(new Event(mNowNanos + delayNanos, mNextEventSequence++, task));
    }

    /** Runs the tasks up to a time, and a check after each of them. */
    void advanceTo(long nanos, Runnable check) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= nanos) {
            Event event = mEvents.remove();
            mNowNanos = event.atNanos();
            event.task().run();
            check.run();
        }
    }
}
