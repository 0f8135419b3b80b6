package org.crocusturn.daemon.platform;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.crocusturn.core.operators.UsageWindow;

/**
 * A closed window to be reported to the platform.
 *
 * @param fence fencing number, which increases with each change of the reporting host
 * @param window the window as it was decided
 * @param permitted whether the report may leave this host now, because no other host can lead; safe
 *     for any thread
 */
public record UsageOrder(long fence, UsageWindow window, BooleanSupplier permitted) {
    /** Rejects null components. */
    public UsageOrder {
        Objects.requireNonNull(window, "window");
        Objects.requireNonNull(permitted, "permitted");
    }
}
