package org.crocusturn.core;

/**
 * Identifies a data centre.
 *
 * @param value name as written in the settings
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
    /** Checks the form of the name. */
    public DataCentreId {
        Names.check(value, "data centre");
    }

    /** Creates an identifier from its name. */
    public static DataCentreId of(String value) {
        return new DataCentreId(value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
