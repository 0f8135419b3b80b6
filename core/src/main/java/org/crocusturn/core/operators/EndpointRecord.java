package org.crocusturn.core.operators;

import java.util.List;
import java.util.Objects;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;

/**
 * An endpoint, as announced by itself.
 *
 * @param id name of the endpoint
 * @param service service that the endpoint belongs to
 * @param dataCentre data centre of the endpoint
 * @param address IP address and port of the database protocol, such as {@code 127.0.0.1:7000}
 * @param statusAddress IP address and port of the status and command protocol; empty if the
 *     endpoint is only monitored by its leaseholder
 * @param databases databases of the endpoint
 * @param leaving whether the endpoint asked to leave, so that it is given no new work
 * @param incarnation number that increases with each start of the endpoint; 0 if the endpoint does
 *     not announce one
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

    /** Creates the record of an endpoint that does not announce an incarnation. */
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

    /** Returns the record of a database, if the endpoint has the database. */
    public java.util.Optional<DatabaseRecord> database(String name) {
        return databases.stream().filter(d -> d.name().equals(name)).findFirst();
    }

    /** Returns whether this is a later incarnation at the address of another endpoint. */
    boolean replaces(EndpointRecord other) {
        return address.equals(other.address)
                && !id.equals(other.id)
                && incarnation > other.incarnation;
    }

    /**
     * Returns whether another record describes an earlier process of this endpoint or at its
     * address, whose log ended with it.
     */
    boolean losesLogOf(EndpointRecord other) {
        return replaces(other) || id.equals(other.id) && incarnation != other.incarnation;
    }

    /** Returns a copy with another value of {@link #leaving}. */
    public EndpointRecord withLeaving(boolean value) {
        return new EndpointRecord(
                id, service, dataCentre, address, statusAddress, databases, value, incarnation);
    }

    /**
     * Returns whether a known record supersedes an announcement of this one, because it describes a
     * later incarnation of the same endpoint or at the same address.
     */
    public boolean isOutdatedBy(EndpointRecord known) {
        boolean same = id.equals(known.id) || address.equals(known.address);
        return same && known.incarnation > incarnation;
    }
}
