package org.crocusturn.daemon.operators;

import org.crocusturn.daemon.settings.ControlSettings;
import org.crocusturn.daemon.settings.EntrySettings;

/** Runs the daemons that the command line starts; each call returns when the daemon has stopped. */
public interface DaemonCommands {
    /** Runs an entry host. */
    void runEntry(EntrySettings settings);

    /** Runs a control host. */
    void runControl(ControlSettings settings);
}
