package org.crocusturn.core.platform;

import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.core.operators.UsageLedger;

/** Input of {@link UsageReporting}. */
public sealed interface UsageInput {
    /**
     * Time has passed.
     *
     * @param term term that this host leads, if it leads; its state then has all entries of earlier
     *     terms
     * @param leaseValid whether no other host can lead now
     * @param ledger ledger in the state that this host has applied
     * @param timeOfDayMillis time of day of this host in milliseconds since 1970; empty if it could
     *     not be read together with the monotonic time
     */
    record Tick(
            Optional<Long> term,
            boolean leaseValid,
            UsageLedger ledger,
            Optional<Long> timeOfDayMillis)
            implements UsageInput {
        /** Rejects null components. */
        public Tick {
            Objects.requireNonNull(term, "term");
            Objects.requireNonNull(ledger, "ledger");
            Objects.requireNonNull(timeOfDayMillis, "timeOfDayMillis");
        }
    }

    /** A process reported its counts. */
    record ReportReceived(UsageReport report) implements UsageInput {
        /** Rejects a null report. */
        public ReportReceived {
            Objects.requireNonNull(report, "report");
        }
    }

    /**
     * The time of day of another host is known.
     *
     * @param host the host
     * @param timeOfDayMillis its time of day in milliseconds since 1970
     * @param takenNanos monotonic time of this host at which it arrived
     */
    record ClockSampled(HostId host, long timeOfDayMillis, long takenNanos) implements UsageInput {
        /** Rejects a null host. */
        public ClockSampled {
            Objects.requireNonNull(host, "host");
        }
    }

    /** A call of the platform ended. */
    record CallEnded(long fence, long window, UsageAnswer answer) implements UsageInput {
        /** Rejects a null answer. */
        public CallEnded {
            Objects.requireNonNull(answer, "answer");
        }
    }
}
