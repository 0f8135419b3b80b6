package org.crocusturn.core;

/**
 * Identifies an endpoint, which is one database instance.
 *
 * @param value name as written in the settings
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Checks the form of the name. */
    public EndpointId {
        Names.check(value, "endpoint");
    }

    /** Creates an identifier from its name. */
    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
