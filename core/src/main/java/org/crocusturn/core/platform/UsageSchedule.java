package org.crocusturn.core.platform;

/**
 * When windows end, are closed and are late, in milliseconds of true time since 1970. Immutable.
 *
 * @param windowMillis length of a window
 * @param latenessMillis time after the end of a window at which its report is late
 */
record UsageSchedule(long windowMillis, long latenessMillis) {
    static UsageSchedule of(MeteringSettings settings) {
        return new UsageSchedule(settings.window().toMillis(), settings.lateness().toMillis());
    }

    /** Returns the window that contains a time. */
    long windowAt(long millis) {
        return Math.floorDiv(millis, windowMillis);
    }

    /** Returns the end of a window. */
    long endMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /**
     * Returns the latest window to be closed. Half of the time until a report is late is left for
     * counts of processes that were suspended, the other half for the report.
     */
    long latestDue(long nowMillis) {
        return windowAt(nowMillis - latenessMillis / 2) - 1;
    }

    boolean isLate(long window, long nowMillis) {
        return nowMillis - endMillis(window) > latenessMillis;
    }
}
