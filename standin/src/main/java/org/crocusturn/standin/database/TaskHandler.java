package org.crocusturn.standin.database;

import java.util.concurrent.TimeUnit;
import org.crocusturn.core.ring.DutyHandler;

/** Runs each task that is offered; has no timer tasks. */
enum TaskHandler implements DutyHandler<Runnable> {
    INSTANCE;

    @Override
    public void onEvent(Runnable task) {
        task.run();
    }

    @Override
    public long onTimer(long nowNanos) {
        return nowNanos + TimeUnit.HOURS.toNanos(1);
    }
}
