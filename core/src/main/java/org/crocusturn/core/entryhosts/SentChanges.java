package org.crocusturn.core.entryhosts;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The state changes that the leader has sent to entry hosts and that they have not confirmed.
 * Immutable.
 *
 * <p>A host confirms changes in its next reports. Until then it is sent only what followed them,
 * because a link delivers messages in order. If the first of them is overdue, it may be lost, and
 * all changes that the host has not confirmed are sent again.
 *
 * @param byHost unconfirmed changes by host
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

    /**
     * Unconfirmed changes that were sent to a process.
     *
     * @param incarnation the process
     * @param version version after the latest of them
     * @param awaitedVersion version whose confirmation is awaited
     * @param sinceNanos time since which it is awaited
     * @param repetitions number of times that the changes up to it were sent again
     */
    record Changes(
            long incarnation, long version, long awaitedVersion, long sinceNanos, int repetitions) {
        private boolean isPending(RegisteredHost host) {
            return incarnation == host.incarnation() && version > host.knownVersion();
        }

        private boolean isOverdue(long nowNanos) {
            return nowNanos - sinceNanos >= RESEND_NANOS << Math.min(repetitions, MAX_DOUBLINGS);
        }

        private Changes followedBy(long nextVersion) {
            return new Changes(incarnation, nextVersion, awaitedVersion, sinceNanos, repetitions);
        }
    }

    /** Returns whether changes were sent to a host that it has not confirmed, in time or not. */
    boolean hasUnconfirmed(RegisteredHost host) {
        return pending(host).isPresent();
    }

    /** Returns the version up to which changes are on their way to a host, if any are. */
    Optional<Long> pendingVersion(RegisteredHost host, long nowNanos) {
        return pending(host).filter(sent -> !sent.isOverdue(nowNanos)).map(Changes::version);
    }

    /** Returns a copy after changes up to a version were sent. */
    SentChanges with(RegisteredHost host, long version, long nowNanos) {
        Optional<Changes> before = pending(host);
        int repetitions = before.map(sent -> sent.repetitions() + 1).orElse(0);
        Changes sent =
                before.filter(changes -> !changes.isOverdue(nowNanos))
                        .map(changes -> changes.followedBy(version))
                        .orElseGet(
                                () ->
                                        new Changes(
                                                host.incarnation(),
                                                version,
                                                version,
                                                nowNanos,
                                                repetitions));
        return new SentChanges(byHost.plus(host.id(), sent));
    }

    /** Returns a copy after a report; if it confirms a part, the rest is awaited from now on. */
    SentChanges withConfirmed(RegisteredHost host, long nowNanos) {
        return pending(host)
                .filter(sent -> host.knownVersion() >= sent.awaitedVersion())
                .map(
                        sent ->
                                new Changes(
                                        sent.incarnation(),
                                        sent.version(),
                                        sent.version(),
                                        nowNanos,
                                        0))
                .map(sent -> new SentChanges(byHost.plus(host.id(), sent)))
                .orElse(this);
    }

    /** Returns a copy without the changes sent to a host, which may be lost with its link. */
    SentChanges without(HostId host) {
        return byHost.containsKey(host) ? new SentChanges(byHost.minus(host)) : this;
    }

    private Optional<Changes> pending(RegisteredHost host) {
        return Optional.ofNullable(byHost.get(host.id())).filter(sent -> sent.isPending(host));
    }
}
