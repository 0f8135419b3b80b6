package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.ring.SteadyClock;

/**
 * Writes a log line for each decision of one part, up to a rate; further lines are counted.
 *
 * <p>Belongs to one thread.
 */
public final class DecisionLog {
    /** Lines a second; a busy host makes thousands of decisions and would flood its disk. */
    private static final int LINES_PER_SECOND = 50;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final Logger mLogger;
    private final String mPrefix;
    private long mWindowNanos;
    private int mLines;
    private long mSuppressed;

    private DecisionLog(Logger logger, String prefix, long nowNanos) {
        mLogger = logger;
        mPrefix = prefix.isEmpty() ? "" : prefix + ": ";
        mWindowNanos = nowNanos;
    }

    /**
     * Creates a log.
     *
     * @param logger where lines go
     * @param prefix fixed prefix of the part, such as {@code endpoints}; empty if lines have theirs
     */
    public static DecisionLog create(Logger logger, String prefix) {
        return new DecisionLog(
                Objects.requireNonNull(logger, "logger"), prefix, SteadyClock.nanoTime());
    }

    /** Writes a line, or counts it if too many came within a second. */
    public void write(String line, long nowNanos) {
        if (nowNanos - mWindowNanos >= SECOND_NANOS) {
            if (mSuppressed > 0) {
                mLogger.info("{}{} further decisions were not logged", mPrefix, mSuppressed);
            }
            mWindowNanos = nowNanos;
            mLines = 0;
            mSuppressed = 0;
        }
        if (mLines < LINES_PER_SECOND) {
            mLines++;
            mLogger.info("{}{}", mPrefix, line);
        } else {
            mSuppressed++;
        }
    }
}
