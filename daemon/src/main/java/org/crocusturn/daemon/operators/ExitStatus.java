package org.crocusturn.daemon.operators;

/** Exit status of the command line. */
public enum ExitStatus {
    /** The command succeeded. */
    DONE(0),
    /** The command was refused and changed nothing. */
    REFUSED(1),
    /** The command or its arguments are invalid. */
    USAGE(2),
    /** The outcome is unknown; the command can be retried with the same change id. */
    UNKNOWN(3);

    private final int mCode;

    ExitStatus(int code) {
        mCode = code;
    }

    /** Returns the exit code of the process. */
    public int code() {
        return mCode;
    }
}
