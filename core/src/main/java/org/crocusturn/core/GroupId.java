package org.crocusturn.core;

import java.util.Comparator;

/**
 * Identifies a database group: the copies of one database of a service, one copy on each endpoint.
 *
 * @param service name of the database service
 * @param database name of the database within the service
 */
public record GroupId(String service, String database) implements Comparable<GroupId> {
    private static final Comparator<GroupId> ORDER =
            Comparator.comparing(GroupId::service).thenComparing(GroupId::database);

    /** Checks the form of both names. */
    public GroupId {
        Names.check(service, "service");
        Names.check(database, "database");
    }

    /** Creates an identifier from its two names. */
    public static GroupId of(String service, String database) {
        return new GroupId(service, database);
    }

    @Override
    public int compareTo(GroupId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return service + "/" + database;
    }
}
