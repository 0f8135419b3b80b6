package org.crocusturn.core.operators;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;

/**
 * Usage reports in the replicated state: who sends them, which windows are closed, and which of
 * these the platform has acknowledged.
 *
 * <p>A closed window never changes, so that every holder sends the same report for it. Immutable.
 *
 * @param holder control host that sends the reports, if there was one
 * @param fence fencing number of the holder, which increases with each change of the holder
 * @param lastClosed number of the last closed window, if a window was closed
 * @param unacknowledged closed windows without an acknowledgement, oldest first
 * @param acknowledged latest acknowledged windows, oldest first
 */
public record UsageLedger(
        Optional<HostId> holder,
        long fence,
        Optional<Long> lastClosed,
        List<UsageWindow> unacknowledged,
        List<UsageWindow> acknowledged) {
    /** The ledger before the first holder. */
    public static final UsageLedger EMPTY =
            new UsageLedger(Optional.empty(), 0, Optional.empty(), List.of(), List.of());

    /**
     * Maximum number of windows that wait for an acknowledgement; the oldest is given up beyond it.
     * With windows of 5 s they cover an outage of the platform of 5 min.
     */
    public static final int MAX_UNACKNOWLEDGED = 64;

    /** Number of acknowledged windows that operators can read. */
    public static final int MAX_ACKNOWLEDGED = 12;

    /** Copies the lists. */
    public UsageLedger {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(lastClosed, "lastClosed");
        unacknowledged = List.copyOf(unacknowledged);
        acknowledged = List.copyOf(acknowledged);
    }

    /** Returns whether a host may become the holder with a fencing number. */
    boolean acceptsHolder(long number) {
        return number == fence + 1;
    }

    /**
     * Returns whether the holder with a fencing number may close a window. Windows are closed one
     * after the other, but a holder may skip windows that are too old to be reported.
     */
    boolean acceptsWindow(long number, long window) {
        return number == fence && lastClosed.filter(last -> window <= last).isEmpty();
    }

    UsageLedger withHolder(HostId host, long number) {
        return new UsageLedger(Optional.of(host), number, lastClosed, unacknowledged, acknowledged);
    }

    UsageLedger withClosed(UsageWindow window) {
        List<UsageWindow> next =
                Stream.concat(unacknowledged.stream(), Stream.of(window))
                        .skip(Math.max(0, unacknowledged.size() + 1 - MAX_UNACKNOWLEDGED))
                        .toList();
        return new UsageLedger(holder, fence, Optional.of(window.number()), next, acknowledged);
    }

    UsageLedger withAcknowledged(long number) {
        List<UsageWindow> sent = unacknowledged.stream().filter(w -> w.number() == number).toList();
        int kept = acknowledged.size() + sent.size();
        return new UsageLedger(
                holder,
                fence,
                lastClosed,
                unacknowledged.stream().filter(w -> w.number() != number).toList(),
                Stream.concat(acknowledged.stream(), sent.stream())
                        .skip(Math.max(0, kept - MAX_ACKNOWLEDGED))
                        .toList());
    }

    /** Returns the ledger without counts, for hosts that do not need them. */
    public UsageLedger withoutCounts() {
        return new UsageLedger(
                holder,
                fence,
                lastClosed,
                unacknowledged.stream().map(UsageWindow::withoutCounts).toList(),
                acknowledged.stream().map(UsageWindow::withoutCounts).toList());
    }
}
