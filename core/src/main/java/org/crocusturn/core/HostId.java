package org.crocusturn.core;

/**
 * Identifies an entry host or a control host.
 *
 * @param value name as written in the settings
 */
public record HostId(String value) implements Comparable<HostId> {
    /** Checks the form of the name. */
    public HostId {
        Names.check(value, "host");
    }

    /** Creates an identifier from its name. */
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
