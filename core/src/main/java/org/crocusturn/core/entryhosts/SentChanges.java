package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;
import org.crocusturn.core.HostId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state changes that the leader has sent to entry hosts lately. Immutable.
 *
 * <p>A host confirms changes in its next reports. Until then, or until the changes are overdue,
 * answers to its reports do not repeat them: a configuration takes a link of 2 Mbit/s about 150 ms,
 * and a host that reports more often would receive it again and again.
 *
 * @param byHost latest changes by host
 */
record SentChanges(PMap<HostId, Changes> byHost) {
    /** No changes. */
    static final SentChanges NONE = new SentChanges(HashTreePMap.empty());

    /** Time after which unconfirmed changes are sent again for the first time. */
    private static final long RESEND_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Number of times that this time doubles, up to 4 s. A new leader of a hundred hosts may need
     * more than 500 ms to send them all a configuration; repetitions would delay it further.
     */
    private static final int MAX_DOUBLINGS = 3;

    SentChanges {
        Objects.requireNonNull(byHost, "byHost");
    }

    /** Changes up to a version that were sent to a process for the latest of several times. */
    record Changes(long incarnation, long version, long sentNanos, int repetitions) {
        private boolean covers(RegisteredHost host, long wanted) {
            return incarnation == host.incarnation() && version >= wanted;
        }

        private boolean isOverdue(long nowNanos) {
            int doublings = Math.min(repetitions, MAX_DOUBLINGS);
            return nowNanos - sentNanos >= RESEND_NANOS << doublings;
        }
    }

    /** Returns whether changes up to a version are on their way to a host. */
    boolean contains(RegisteredHost host, long version, long nowNanos) {
        Changes sent = byHost.get(host.id());
        return sent != null && sent.covers(host, version) && !sent.isOverdue(nowNanos);
    }

    /** Returns a copy after changes up to a version were sent. */
    SentChanges with(RegisteredHost host, long version, long nowNanos) {
        Changes before = byHost.get(host.id());
        boolean repeated = before != null && before.covers(host, version);
        int repetitions = repeated ? before.repetitions() + 1 : 0;
        return new SentChanges(
                byHost.plus(
                        host.id(),
                        new Changes(host.incarnation(), version, nowNanos, repetitions)));
    }

    /** Returns a copy without the changes sent to a host, which may be lost with its link. */
    SentChanges without(HostId host) {
        return byHost.containsKey(host) ? new SentChanges(byHost.minus(host)) : this;
    }
}
