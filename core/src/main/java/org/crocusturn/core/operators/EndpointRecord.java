package org.crocusturn.core.operators;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;

/**
 * Is an endpoint as it announced itself.
 *
 * @param id name of the endpoint
 * @param service service that it belongs to
 * @param dataCentre where it stands
 * @param address IP address and port of the database protocol, such as {@code 127.0.0.1:7000}
 * @param statusAddress IP address and port of the status and command protocol; empty if only its
 *     leaseholder watches it
 * @param databases its databases
 * @param leaving whether it asked to leave; it gets no new work then
 * @param incarnation number that grows with each start of the endpoint; 0 if it does not tell one
 */
public record EndpointRecord(
        EndpointId id,
        String service,
        DataCentreId dataCentre,
        String address,
        String statusAddress,
        List<DatabaseRecord> databases,
        boolean leaving,
        long incarnation) {
    /** Copies the databases. */
    public EndpointRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(statusAddress, "statusAddress");
        databases = List.copyOf(databases);
    }

    /** Creates the record of an endpoint that tells no incarnation. */
    public EndpointRecord(
            EndpointId id,
            String service,
            DataCentreId dataCentre,
            String address,
            String statusAddress,
            List<DatabaseRecord> databases,
            boolean leaving) {
        this(id, service, dataCentre, address, statusAddress, databases, leaving, 0);
    }

    /** Returns the record of a database, if the endpoint has it. */
    public java.util.Optional<DatabaseRecord> database(String name) {
        return databases.stream().filter(d -> d.name().equals(name)).findFirst();
    }

    /** Returns whether this is a later incarnation at the address of another endpoint. */
    boolean replaces(EndpointRecord other) {
        return address.equals(other.address)
                && !id.equals(other.id)
                && incarnation > other.incarnation;
    }

    /** Returns a copy that is leaving or not. */
    public EndpointRecord withLeaving(boolean value) {
        return new EndpointRecord(
                id, service, dataCentre, address, statusAddress, databases, value, incarnation);
    }

    /**
     * Returns whether an announcement with this record is outdated beside a known one: the known
     * incarnation of the same endpoint or at the same address started later.
     */
    public boolean isOutdatedBy(EndpointRecord known) {
        boolean same = id.equals(known.id) || address.equals(known.address);
        return same && known.incarnation > incarnation;
    }
}
