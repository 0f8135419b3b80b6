package org.crocusturn.core.controlhosts;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;

/**
 * Tells the control leader how an entry host fares; every report is answered by an update.
 *
 * @param host the entry host
 * @param incarnation random number drawn at the start of the process
 * @param dataCentre where it stands
 * @param linkAddress IP address and port where other entry hosts reach it
 * @param sequence number of the report, growing from 1
 * @param knownVersion version of the state that it has
 * @param leases group leases that it holds or released since the last answered report
 * @param demands rate tokens that it needs
 * @param suspects endpoints that refused or reset a connection since the last report
 * @param leaving whether it stops and wants to hand its leases over
 * @param answered greatest sequence that a received update answered; 0 if the process has received
 *     none. It proves to the leader that this report was sent after that report had arrived, which
 *     makes it safe to credit unspent tokens. A sequence number goes to one control host only.
 * @param holdingsTerm consensus term of the leader up to which the demands tell all tokens that the
 *     process holds; 0 if they do not
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
        long answered,
        long holdingsTerm)
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

    /** Creates a report of a process that does not tell what tokens it holds. */
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
            long answered) {
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
                answered,
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
