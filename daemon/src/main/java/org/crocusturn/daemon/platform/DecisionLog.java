package org.crocusturn.daemon.platform;

import java.util.Objects;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.ring.SteadyClock;

/**
 * Logs the decisions of one component up to a maximum rate; lines above the rate are only counted.
 *
 * <p>Not thread-safe.
 */
public final class DecisionLog {
    /** A busy host makes thousands of decisions per second, which would flood its disk. */
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
     * @param logger destination of the lines
     * @param prefix prefix of the component, such as {@code endpoints}; empty if lines include one
     */
    public static DecisionLog create(Logger logger, String prefix) {
        return new DecisionLog(
                Objects.requireNonNull(logger, "logger"), prefix, SteadyClock.nanoTime());
    }

    /** Logs a line, or counts it if the maximum rate is reached. */
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
