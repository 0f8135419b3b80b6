package org.crocusturn.daemon.callers;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.Failure;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.platform.DecisionLog;

/** Log lines about the sessions of an entry host; not thread-safe. */
final class SessionLog {
    private static final Logger LOG = LogManager.getLogger(SessionLog.class);

    private final DecisionLog mDecisions = DecisionLog.create(LOG, "callers");

    /** Logs that the host learned another configuration. */
    void configurationChanged(long before, long after) {
        LOG.info("callers: configuration {} follows {}", after, before);
    }

    /** Logs that a session is open for callers without a key. */
    void openedWithoutKey(long session, WorkspaceId workspace, long configuration) {
        write("session " + session + " is open for " + workspace + under(configuration));
    }

    void refused(long session, Failure failure) {
        write("session " + session + " is refused: " + failure.message());
    }

    void closed(long session, String reason) {
        write("session " + session + " is closed: " + reason);
    }

    /** Logs that the open work of a session is ended at its leaseholder. */
    void ended(long session, Failure reason, long configuration) {
        write(
                "session "
                        + session
                        + " may not go on with its work"
                        + under(configuration)
                        + ": "
                        + reason.message());
    }

    /** Logs that a session ends because of a failure of this host. */
    void abandoned(long session, RuntimeException failure) {
        LOG.error("callers: closing session {} after a failure of this host", session, failure);
    }

    /** Logs that a statement is sent although new work of its session would be refused. */
    void sentDespite(Failure failure, SessionCall call, long configuration) {
        write(
                statement(call)
                        + " in step "
                        + call.step()
                        + " is sent for "
                        + call.workspace()
                        + under(configuration)
                        + " although "
                        + failure.message());
    }

    void failed(SessionCall call, Failure failure) {
        write(
                statement(call)
                        + " call "
                        + call.id()
                        + " fails: "
                        + failure.code()
                        + " "
                        + failure.message());
    }

    private static String statement(SessionCall call) {
        return "session " + call.session() + " statement " + call.statement().id();
    }

    private static String under(long configuration) {
        return " under configuration " + configuration;
    }

    private void write(String line) {
        mDecisions.write(line, SteadyClock.nanoTime());
    }
}
