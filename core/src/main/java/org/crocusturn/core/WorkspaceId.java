package org.crocusturn.core;

/**
 * Identifies a workspace.
 *
 * @param value name as written in the settings
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /** Checks the form of the name. */
    public WorkspaceId {
        Names.check(value, "workspace");
    }

    /** Creates an identifier from its name. */
    public static WorkspaceId of(String value) {
        return new WorkspaceId(value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
