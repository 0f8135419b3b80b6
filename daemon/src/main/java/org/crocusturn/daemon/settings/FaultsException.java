package org.crocusturn.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a file is rejected; contains all its faults. */
public class FaultsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Fault> mFaults;

    private FaultsException(List<Fault> faults) {
        super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
        mFaults = List.copyOf(faults);
    }

    /** Creates an exception for at least one fault. */
    public static FaultsException of(List<Fault> faults) {
        return new FaultsException(faults);
    }

    /** Returns the faults in the order of the file. */
    public List<Fault> faults() {
        return mFaults;
    }
}
