package org.crocusturn.daemon.operators;

/** Is the exit status of the command line. */
public enum ExitStatus {
    /** It is done. */
    DONE(0),
    /** It was refused and changed nothing. */
    REFUSED(1),
    /** The command itself is wrong. */
    USAGE(2),
    /** It is not known whether it is done; the same change id may be sent again. */
    UNKNOWN(3);

    private final int mCode;

    ExitStatus(int code) {
        mCode = code;
    }

    /** Returns the number for the operating system. */
    public int code() {
        return mCode;
    }
}
