package org.crocusturn.daemon.operators;

/** Exit status of the command line and of the daemons. */
public enum ExitStatus {
    /** The command succeeded. */
    DONE(0),
    /** The command was refused and changed nothing. */
    REFUSED(1),
    /** The command or its arguments are invalid. */
    USAGE(2),
    /** The outcome is unknown; the command can be retried with the same change id. */
    UNKNOWN(3),
    /** A daemon ended because one of its threads failed; the platform has to start it again. */
    FAILED(70);

    private final int mCode;

    ExitStatus(int code) {
        mCode = code;
    }

    /** Returns the exit code of the process. */
    public int code() {
        return mCode;
    }
}
