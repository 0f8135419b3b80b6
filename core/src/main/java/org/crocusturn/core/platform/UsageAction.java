package org.crocusturn.core.platform;

import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.UsageWindow;

/** Action that the caller of {@link UsageReporting} has to perform. */
public sealed interface UsageAction {
    /** Propose a command to the log; later steps repeat lost proposals. */
    record Propose(ControlCommand command) implements UsageAction {
        /** Rejects a null command. */
        public Propose {
            Objects.requireNonNull(command, "command");
        }
    }

    /** Send a receipt to a host, if no other host can lead now. */
    record SendReceipt(HostId host, UsageReceipt receipt) implements UsageAction {
        /** Rejects null components. */
        public SendReceipt {
            Objects.requireNonNull(host, "host");
            Objects.requireNonNull(receipt, "receipt");
        }
    }

    /**
     * Report a window to the platform, if no other host can lead now, and pass the answer to a
     * later step.
     */
    record CallPlatform(long fence, UsageWindow window) implements UsageAction {
        /** Rejects a null window. */
        public CallPlatform {
            Objects.requireNonNull(window, "window");
        }
    }

    /** Write a log line. */
    record Log(String text) implements UsageAction {
        /** Rejects a null text. */
        public Log {
            Objects.requireNonNull(text, "text");
        }
    }

    /** Add an amount to a metric. */
    record Count(UsageMetric metric, long amount) implements UsageAction {
        /** Rejects a null metric. */
        public Count {
            Objects.requireNonNull(metric, "metric");
        }
    }
}
