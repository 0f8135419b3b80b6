package org.crocusturn.core.ring;

/**
 * Decides what becomes of a duty whose handler fails.
 *
 * <p>An exception is passed to {@link #onException}, and the duty continues if that method returns.
 * An {@link Error}, or a failure outside of the handler, ends the duty: its thread may have lost
 * control between any two instructions, so nothing that it holds is known to be consistent.
 */
@FunctionalInterface
public interface FailureHandler {
    /** Ends the duty at each exception; for handlers that an exception can leave half changed. */
    FailureHandler ENDING =
            failure -> {
                throw failure;
            };

    /**
     * Handles an exception of the handler. Whatever this method throws ends the duty.
     *
     * @param failure exception of the handler
     */
    void onException(RuntimeException failure);

    /**
     * Handles the failure that ends the duty, on the thread of the duty. By default the uncaught
     * exception handler of the thread gets it; a daemon installs one that ends the process.
     *
     * @param thread thread of the duty
     * @param failure cause of the end
     */
    default void onEnd(Thread thread, Throwable failure) {
        thread.getUncaughtExceptionHandler().uncaughtException(thread, failure);
    }
}
