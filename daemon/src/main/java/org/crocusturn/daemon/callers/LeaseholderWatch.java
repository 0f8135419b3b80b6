package org.crocusturn.daemon.callers;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.entryhosts.LeaseholderEvidence;
import org.crocusturn.core.entryhosts.LeaseholderLink;
import org.crocusturn.core.operators.Leaseholder;

/**
 * Keeps the evidence about the leaseholders that this host sends calls to, by link address.
 *
 * <p>Not thread-safe: used only by the thread of {@link SessionsDuty}.
 */
final class LeaseholderWatch {
    private static final Logger LOG = LogManager.getLogger(LeaseholderWatch.class);

    /**
     * Delay of a run from which this process counts as paused. After a pause, bytes that arrived in
     * it may not have been read yet. Shorter delays are within the margin for silence.
     */
    private static final long MIN_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

    private final SessionDispatcher mDispatcher;
    private final Map<String, LeaseholderEvidence> mEvidence = new HashMap<>();
    private final Set<String> mSilent = new HashSet<>();
    private long mDueNanos;

    LeaseholderWatch(SessionDispatcher dispatcher, long dueNanos) {
        mDispatcher = dispatcher;
        mDueNanos = dueNanos;
    }

    /** Called at the beginning of each run of the duty. */
    void onRun(long nowNanos) {
        long pause = nowNanos - mDueNanos;
        if (pause >= MIN_PAUSE_NANOS) {
            mEvidence.replaceAll((address, evidence) -> evidence.withPause(pause, nowNanos));
        }
        expectRunBy(nowNanos + OpenCalls.RUN_INTERVAL_NANOS);
    }

    /** Sets the time of the next run at the latest. */
    void expectRunBy(long dueNanos) {
        mDueNanos = dueNanos;
    }

    /** Returns the evidence about a leaseholder; empty if it runs in this process. */
    Optional<LeaseholderEvidence> evidence(Leaseholder leaseholder, long nowNanos) {
        Optional<LeaseholderLink> link = mDispatcher.link(leaseholder);
        if (link.isEmpty()) {
            return Optional.empty();
        }
        String address = leaseholder.linkAddress();
        LeaseholderEvidence evidence =
                mEvidence
                        .getOrDefault(address, LeaseholderEvidence.startingAt(nowNanos))
                        .with(link.get());
        mEvidence.put(address, evidence);
        logSilence(leaseholder, evidence.isSilent(nowNanos));
        return Optional.of(evidence);
    }

    /** Records that a call was sent to a leaseholder. */
    void onCallSent(Leaseholder leaseholder, long nowNanos) {
        mEvidence.computeIfPresent(
                leaseholder.linkAddress(), (address, evidence) -> evidence.withCallSent(nowNanos));
    }

    /** Drops what is known about processes that are no leaseholders. */
    void retain(Set<String> linkAddresses) {
        mEvidence.keySet().retainAll(linkAddresses);
        mSilent.retainAll(linkAddresses);
    }

    private void logSilence(Leaseholder leaseholder, boolean silent) {
        if (silent && mSilent.add(leaseholder.linkAddress())) {
            LOG.warn("callers: leaseholder {} is silent", leaseholder.host());
        } else if (!silent && mSilent.remove(leaseholder.linkAddress())) {
            LOG.info("callers: leaseholder {} is not silent any more", leaseholder.host());
        }
    }
}
