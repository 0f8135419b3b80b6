package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/**
 * Reports the state of an entry host to the control leader, which answers with an update.
 *
 * @param host the entry host
 * @param incarnation random number drawn at the start of the process
 * @param dataCentre data centre of the host
 * @param linkAddress IP address and port on which other entry hosts reach it
 * @param sequence number of the report, increasing from 1
 * @param knownVersion version of the host's copy of the replicated state
 * @param leases group leases that the host holds or released since the last answered report
 * @param demands rate tokens that the host needs
 * @param suspects endpoints that refused or reset a connection since the last report
 * @param leaving whether the host is stopping and its leases should move to other hosts
 * @param answeredSequence highest sequence that a received update answered; 0 if the process has
 *     received none. It proves to the leader that this report was sent after the answered one had
 *     arrived, so that it is safe to credit unspent tokens. Each sequence is sent to one control
 *     host only.
 * @param holdingsTerm latest leader term for which the demands report all tokens that the process
 *     holds; 0 if they do not
 * @param relayCapacity statements per second that the host can relay as a leaseholder; 0 if not
 *     known
 * @param timeOfDayMillis time of day of the host in milliseconds since 1970; 0 if not reported
 * @param uptimeMillis time since the first report of the process, to any control host; 0 if not
 *     reported
 */
public record EntryReport(
        HostId host,
        long incarnation,
        DataCentreId dataCentre,
        String linkAddress,
        long sequence,
        long knownVersion,
        List<HeldLease> leases,
        List<TokenDemand> demands,
        Set<EndpointId> suspects,
        boolean leaving,
        long answeredSequence,
        long holdingsTerm,
        int relayCapacity,
        long timeOfDayMillis,
        long uptimeMillis)
        implements PeerMessage {
    /** Copies the collections. */
    public EntryReport {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(linkAddress, "linkAddress");
        leases = List.copyOf(leases);
        demands = List.copyOf(demands);
        suspects = Set.copyOf(suspects);
    }

    /** Returns a copy that states the time of day of the host, in milliseconds since 1970. */
    public EntryReport withTimeOfDay(long millis) {
        return new EntryReport(
                host,
                incarnation,
                dataCentre,
                linkAddress,
                sequence,
                knownVersion,
                leases,
                demands,
                suspects,
                leaving,
                answeredSequence,
                holdingsTerm,
                relayCapacity,
                millis,
                uptimeMillis);
    }

    /** Returns a copy that states the uptime of the process, in milliseconds. */
    public EntryReport withUptime(long millis) {
        return new EntryReport(
                host,
                incarnation,
                dataCentre,
                linkAddress,
                sequence,
                knownVersion,
                leases,
                demands,
                suspects,
                leaving,
                answeredSequence,
                holdingsTerm,
                relayCapacity,
                timeOfDayMillis,
                millis);
    }

    /** Creates a report that states neither the time of day of the host nor its uptime. */
    public EntryReport(
            HostId host,
            long incarnation,
            DataCentreId dataCentre,
            String linkAddress,
            long sequence,
            long knownVersion,
            List<HeldLease> leases,
            List<TokenDemand> demands,
            Set<EndpointId> suspects,
            boolean leaving,
            long answeredSequence,
            long holdingsTerm,
            int relayCapacity) {
        this(
                host,
                incarnation,
                dataCentre,
                linkAddress,
                sequence,
                knownVersion,
                leases,
                demands,
                suspects,
                leaving,
                answeredSequence,
                holdingsTerm,
                relayCapacity,
                0,
                0);
    }

    /** Creates a report that does not state which tokens the process holds. */
    public EntryReport(
            HostId host,
            long incarnation,
            DataCentreId dataCentre,
            String linkAddress,
            long sequence,
            long knownVersion,
            List<HeldLease> leases,
            List<TokenDemand> demands,
            Set<EndpointId> suspects,
            boolean leaving,
            long answeredSequence) {
        this(
                host,
                incarnation,
                dataCentre,
                linkAddress,
                sequence,
                knownVersion,
                leases,
                demands,
                suspects,
                leaving,
                answeredSequence,
                0,
                0);
    }

    /** Creates a report of a process that has received no update. */
    public EntryReport(
            HostId host,
            long incarnation,
            DataCentreId dataCentre,
            String linkAddress,
            long sequence,
            long knownVersion,
            List<HeldLease> leases,
            List<TokenDemand> demands,
            Set<EndpointId> suspects,
            boolean leaving) {
        this(
                host,
                incarnation,
                dataCentre,
                linkAddress,
                sequence,
                knownVersion,
                leases,
                demands,
                suspects,
                leaving,
                0);
    }
}
