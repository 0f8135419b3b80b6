package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.operators.UsageWindow;

/**
 * Reports the usage that a process has counted to a control host.
 *
 * <p>Counts are cumulative in their window, so that a repeated report adds nothing. A report has
 * only the counts that changed since the last one on the same link.
 *
 * @param host host of the process
 * @param incarnation random number drawn at the start of the process
 * @param sequence number of the report, increasing within the process
 * @param windows windows with changed counts
 */
public record UsageReport(HostId host, long incarnation, long sequence, List<UsageWindow> windows)
        implements PeerMessage {
    /** Copies the list. */
    public UsageReport {
        Objects.requireNonNull(host, "host");
        windows = List.copyOf(windows);
    }
}
