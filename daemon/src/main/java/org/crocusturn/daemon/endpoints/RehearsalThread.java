package org.crocusturn.daemon.endpoints;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs a {@link GroupRehearsal} in a thread of its own after the start of a process.
 *
 * <p>It pauses after each part for as long as the part took, so that it takes at most half of the
 * processor from what the process has to do.
 */
public final class RehearsalThread {
    private static final Logger LOG = LogManager.getLogger(RehearsalThread.class);

    /** Operations after which the code of a group is compiled. */
    private static final int OPERATIONS = 600;

    private static final int OPERATIONS_PER_PART = 20;

    private final ScheduledExecutorService mExecutor =
            Executors.newSingleThreadScheduledExecutor(RehearsalThread::thread);

    /** Created by the first part, so that the start of the process does not wait for it. */
    private GroupRehearsal mRehearsal;

    private int mOperations;

    private RehearsalThread() {}

    /** Starts a rehearsal after some time; returns at once. */
    public static void start(Duration delay) {
        new RehearsalThread().schedule(delay.toNanos());
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "rehearsal");
        thread.setDaemon(true);
        return thread;
    }

    private void schedule(long delayNanos) {
        mExecutor.schedule(this::runPart, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void runPart() {
        long start = System.nanoTime();
        try {
            mRehearsal = mRehearsal == null ? new GroupRehearsal() : mRehearsal;
            mRehearsal.run(OPERATIONS_PER_PART);
        } catch (RuntimeException e) {
            LOG.warn("endpoints: the rehearsal has failed, the first calls may be slow", e);
            mOperations = OPERATIONS;
        }
        mOperations += OPERATIONS_PER_PART;
        if (mOperations < OPERATIONS) {
            schedule(System.nanoTime() - start);
        } else {
            mExecutor.shutdown();
        }
    }
}
