package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;

/**
 * State of an entry host as known to the control leader. Immutable.
 *
 * @param id name of the host
 * @param incarnation random number of the process
 * @param dataCentre data centre of the host
 * @param linkAddress address at which other entry hosts connect to it
 * @param sequence sequence of its latest report
 * @param answeredSequence greatest sequence whose answer it has confirmed
 * @param knownVersion state version in its latest report
 * @param reportNanos time at which the latest report arrived
 * @param aliveSinceNanos time since which it has been alive
 * @param linkOpen whether its link is open
 * @param leaving whether it stops and its leases have to move
 * @param probeSequence sequence of a report whose answer is not confirmed yet
 * @param probeNanos time at which that report arrived
 * @param sentAfterNanos time after which the latest report is guaranteed to have been sent, if
 *     {@code answerConfirmed}
 * @param answerConfirmed whether the process has confirmed an answer of this leader
 * @param relayCapacity statements per second that it can relay as a leaseholder; 0 if not known
 * @param uptimeMillis uptime of the process at its latest report; 0 if not reported
 * @param callsPerSecond calls for its groups that have arrived recently, per second; 0 if not
 *     reported
 */
public record RegisteredHost(
        HostId id,
        long incarnation,
        DataCentreId dataCentre,
        String linkAddress,
        long sequence,
        long answeredSequence,
        long knownVersion,
        long reportNanos,
        long aliveSinceNanos,
        boolean linkOpen,
        boolean leaving,
        long probeSequence,
        long probeNanos,
        long sentAfterNanos,
        boolean answerConfirmed,
        int relayCapacity,
        long uptimeMillis,
        int callsPerSecond) {
    /** Checks that no part is null. */
    public RegisteredHost {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(linkAddress, "linkAddress");
    }

    /** Creates a host from the first report of its process. */
    static RegisteredHost of(EntryReport report, long nowNanos) {
        return new RegisteredHost(
                report.host(),
                report.incarnation(),
                report.dataCentre(),
                report.linkAddress(),
                report.sequence(),
                report.answeredSequence(),
                report.knownVersion(),
                nowNanos,
                nowNanos - Duration.ofMillis(report.uptimeMillis()).toNanos(),
                true,
                report.leaving(),
                report.sequence(),
                nowNanos,
                nowNanos,
                false,
                report.relayCapacity(),
                report.uptimeMillis(),
                callsPerSecond(report));
    }

    /** Returns the host after a later report of the same process. */
    RegisteredHost with(EntryReport report, long nowNanos, boolean wasLive) {
        boolean confirmed = report.answeredSequence() >= probeSequence;
        return new RegisteredHost(
                id,
                incarnation,
                report.dataCentre(),
                report.linkAddress(),
                report.sequence(),
                Math.max(answeredSequence, report.answeredSequence()),
                report.knownVersion(),
                nowNanos,
                wasLive ? aliveSinceNanos : nowNanos,
                true,
                report.leaving(),
                confirmed ? report.sequence() : probeSequence,
                confirmed ? nowNanos : probeNanos,
                confirmed ? probeNanos : sentAfterNanos,
                answerConfirmed || confirmed,
                report.relayCapacity(),
                report.uptimeMillis(),
                callsPerSecond(report));
    }

    /**
     * Returns whether this process has replaced another process of the same host. The other process
     * must have ended if this one listens on its link address and has confirmed an answer of the
     * leader.
     */
    boolean hasReplaced(long otherIncarnation, String otherLinkAddress) {
        return answerConfirmed
                && incarnation != otherIncarnation
                && linkAddress.equals(otherLinkAddress);
    }

    /** Returns the host after its link closed. */
    RegisteredHost withLinkClosed() {
        return new RegisteredHost(
                id,
                incarnation,
                dataCentre,
                linkAddress,
                sequence,
                answeredSequence,
                knownVersion,
                reportNanos,
                aliveSinceNanos,
                false,
                leaving,
                probeSequence,
                probeNanos,
                sentAfterNanos,
                answerConfirmed,
                relayCapacity,
                uptimeMillis,
                callsPerSecond);
    }

    private static int callsPerSecond(EntryReport report) {
        return report.leases().stream().mapToInt(HeldLease::callsPerSecond).sum();
    }

    /** Returns whether it is asked to relay more than it can. */
    boolean isOverloaded() {
        return relayCapacity > 0 && callsPerSecond > relayCapacity;
    }
}
