package org.crocusturn.standin.database;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.daemon.net.Addresses;

/**
 * The settings of a stand-in.
 *
 * @param endpoint name of the endpoint
 * @param service service that the endpoint belongs to
 * @param dataCentre data centre of the endpoint
 * @param address IP address and port of the database protocol; port 0 selects a free port
 * @param statusAddress IP address and port of the status protocol; port 0 selects a free port
 * @param databases databases of the endpoint
 * @param behaviour initial behaviour
 * @param controlAddresses operator addresses of the control hosts that receive announcements; may
 *     be empty
 * @param announcementSecret bearer secret of announcements
 */
public record StandInSettings(
        EndpointId endpoint,
        String service,
        DataCentreId dataCentre,
        String address,
        String statusAddress,
        List<DatabaseRecord> databases,
        Behaviour behaviour,
        List<String> controlAddresses,
        String announcementSecret) {
    /** Rejects null components and malformed addresses, and copies the lists. */
    public StandInSettings {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(behaviour, "behaviour");
        Objects.requireNonNull(announcementSecret, "announcementSecret");
        Addresses.parse(address);
        Addresses.parse(statusAddress);
        databases = List.copyOf(databases);
        controlAddresses = List.copyOf(controlAddresses);
        controlAddresses.forEach(Addresses::parse);
    }

    /** Creates settings with free loopback ports, no delays and no control hosts. */
    public static StandInSettings onLoopback(
            String endpoint, String service, String dataCentre, List<DatabaseRecord> databases) {
        return new StandInSettings(
                EndpointId.of(endpoint),
                service,
                DataCentreId.of(dataCentre),
                "127.0.0.1:0",
                "127.0.0.1:0",
                databases,
                Behaviour.NORMAL,
                List.of(),
                "none");
    }

    /** Returns a copy with the given addresses. */
    public StandInSettings withAddresses(String database, String status) {
        return new StandInSettings(
                endpoint,
                service,
                dataCentre,
                database,
                status,
                databases,
                behaviour,
                controlAddresses,
                announcementSecret);
    }

    /** Returns a copy with the given behaviour. */
    public StandInSettings withBehaviour(Behaviour newBehaviour) {
        return new StandInSettings(
                endpoint,
                service,
                dataCentre,
                address,
                statusAddress,
                databases,
                newBehaviour,
                controlAddresses,
                announcementSecret);
    }

    /** Returns a copy with the given control hosts and announcement secret. */
    public StandInSettings withControl(List<String> addresses, String secret) {
        return new StandInSettings(
                endpoint,
                service,
                dataCentre,
                address,
                statusAddress,
                databases,
                behaviour,
                addresses,
                secret);
    }
}
