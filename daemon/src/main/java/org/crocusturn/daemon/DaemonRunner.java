package org.crocusturn.daemon;

import org.apache.logging.log4j.LogManager;
import org.crocusturn.daemon.operators.DaemonCommands;
import org.crocusturn.daemon.platform.StopSignal;
import org.crocusturn.daemon.settings.ControlSettings;
import org.crocusturn.daemon.settings.EntrySettings;

/** Runs the daemons that the command line starts until they have stopped. */
final class DaemonRunner implements DaemonCommands {

    @Override
    public void runEntry(EntrySettings settings) {
        StopSignal stop = StopSignal.install();
        try (EntryDaemon daemon = EntryDaemon.start(settings)) {
            stop.requested().thenRun(daemon::requestStop);
            await(daemon::awaitStopped);
        }
        LogManager.shutdown();
    }

    @Override
    public void runControl(ControlSettings settings) {
        StopSignal stop = StopSignal.install();
        try (ControlDaemon daemon = ControlDaemon.start(settings)) {
            stop.requested().thenRun(daemon::requestStop);
            await(daemon::awaitStopped);
        }
        LogManager.shutdown();
    }

    /** Blocking wait that can be interrupted. */
    private interface InterruptibleWait {
        void await() throws InterruptedException;
    }

    private static void await(InterruptibleWait wait) {
        try {
            wait.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
