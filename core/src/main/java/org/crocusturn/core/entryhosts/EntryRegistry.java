package org.crocusturn.core.entryhosts;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Registry of entry hosts that tracks their liveness by their reports. Immutable.
 *
 * <p>A report costs O(log hosts); {@link #live} and {@link #withoutSilentHosts} cost O(hosts).
 *
 * @param hosts known hosts by name
 * @param monitoredSinceNanos start of the leader's monitoring, or end of its latest pause
 */
public record EntryRegistry(PMap<HostId, RegisteredHost> hosts, long monitoredSinceNanos) {
    /** Checks that the map is not null. */
    public EntryRegistry {
        Objects.requireNonNull(hosts, "hosts");
    }

    /** Creates the registry of a new leader. */
    public static EntryRegistry of(long nowNanos) {
        return new EntryRegistry(HashTreePMap.empty(), nowNanos);
    }

    /** Returns a known host, whether or not it is alive. */
    public Optional<RegisteredHost> host(HostId id) {
        return Optional.ofNullable(hosts.get(id));
    }

    /** Returns whether a report is newer than all known reports of its process. */
    public boolean isNew(EntryReport report) {
        RegisteredHost known = hosts.get(report.host());
        return known == null
                || known.incarnation() != report.incarnation()
                || known.sequence() < report.sequence();
    }

    /** Returns whether a host's link is open and its last report is less than 500 ms old. */
    public boolean isLive(RegisteredHost host, long nowNanos) {
        long lastSeenNanos = Math.max(host.reportNanos(), monitoredSinceNanos);
        return host.linkOpen() && nowNanos - lastSeenNanos < LeaseTimes.HOST_TIMEOUT_NANOS;
    }

    /** Returns whether the given process of a host is alive. */
    public boolean isLive(HostId id, long incarnation, long nowNanos) {
        RegisteredHost host = hosts.get(id);
        return host != null && host.incarnation() == incarnation && isLive(host, nowNanos);
    }

    /** Returns the live hosts in no particular order. */
    public List<RegisteredHost> live(long nowNanos) {
        return hosts.values().stream().filter(h -> isLive(h, nowNanos)).toList();
    }

    /** Returns the hosts that are not alive. */
    public List<RegisteredHost> dead(long nowNanos) {
        return hosts.values().stream().filter(h -> !isLive(h, nowNanos)).toList();
    }

    /** Returns the registry after a report; a repeated report changes nothing. */
    public EntryRegistry with(EntryReport report, long nowNanos) {
        if (!isNew(report)) {
            return this;
        }
        RegisteredHost known = hosts.get(report.host());
        RegisteredHost next =
                known == null || known.incarnation() != report.incarnation()
                        ? RegisteredHost.of(report, nowNanos)
                        : known.with(report, nowNanos, isLive(known, nowNanos));
        return new EntryRegistry(hosts.plus(report.host(), next), monitoredSinceNanos);
    }

    /** Returns the registry after a host's link closed. */
    public EntryRegistry withLinkClosed(HostId id) {
        RegisteredHost known = hosts.get(id);
        return known == null
                ? this
                : new EntryRegistry(hosts.plus(id, known.withLinkClosed()), monitoredSinceNanos);
    }

    /** Returns the registry after a pause of the leader that ended at a time. */
    public EntryRegistry withMonitoredSince(long nanos) {
        return new EntryRegistry(hosts, nanos);
    }

    /** Returns the registry without hosts that sent no report for 10 s. */
    public EntryRegistry withoutSilentHosts(long nowNanos) {
        List<HostId> silent =
                hosts.values().stream()
                        .filter(h -> nowNanos - h.reportNanos() >= LeaseTimes.HOST_REMOVAL_NANOS)
                        .map(RegisteredHost::id)
                        .toList();
        return silent.isEmpty()
                ? this
                : new EntryRegistry(hosts.minusAll(silent), monitoredSinceNanos);
    }
}
