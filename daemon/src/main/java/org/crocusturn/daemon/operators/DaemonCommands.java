package org.crocusturn.daemon.operators;

import org.crocusturn.daemon.settings.ControlSettings;
import org.crocusturn.daemon.settings.EntrySettings;

/** Runs the daemons that the command line starts; each method blocks until the daemon stops. */
public interface DaemonCommands {
    /** Runs an entry host. */
    void runEntry(EntrySettings settings);

    /** Runs a control host. */
    void runControl(ControlSettings settings);
}
