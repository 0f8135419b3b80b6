package org.crocusturn.daemon;

import org.crocusturn.daemon.operators.DaemonCommands;
import org.crocusturn.daemon.platform.StopSignal;
import org.crocusturn.daemon.settings.ControlSettings;
import org.crocusturn.daemon.settings.EntrySettings;

/** Runs the daemons that the command line starts until they have stopped. */
final class DaemonRunner implements DaemonCommands {

    @Override
    public void runEntry(EntrySettings settings) {
        EntryDaemon daemon = EntryDaemon.start(settings);
        StopSignal.onStop(
                () -> {
                    daemon.requestStop();
                    await(daemon::awaitStopped);
                    daemon.close();
                });
        await(daemon::awaitStopped);
    }

    @Override
    public void runControl(ControlSettings settings) {
        ControlDaemon daemon = ControlDaemon.start(settings);
        StopSignal.onStop(
                () -> {
                    daemon.requestStop();
                    await(daemon::awaitStopped);
                    daemon.close();
                });
        await(daemon::awaitStopped);
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
