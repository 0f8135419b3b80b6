package org.crocusturn.core.endpoints;

/** Why a connection to a copy is opened. */
public enum OpeningReason {
    /** The workspace has no connection to the copy. */
    NO_CONNECTION,
    /** The workspace had one, which was closed to make room for another workspace. */
    CLOSED_FOR_ROOM,
    /** All connections of the workspace run statements or belong to transactions. */
    ALL_BUSY,
    /** The next answers of the idle ones could not be told from repeated ones. */
    NONE_SUITABLE,
    /** It is opened before a statement needs it. */
    WARM_UP;

    /**
     * Returns why a call needs a new connection.
     *
     * @param open connections of the workspace to the copy
     * @param idle those that run no statement and belong to no transaction
     * @param closedForRoom whether one was closed to make room since the last one was opened
     */
    public static OpeningReason of(int open, int idle, boolean closedForRoom) {
        if (idle > 0) {
            return NONE_SUITABLE;
        }
        if (open > 0) {
            return ALL_BUSY;
        }
        return closedForRoom ? CLOSED_FOR_ROOM : NO_CONNECTION;
    }
}
