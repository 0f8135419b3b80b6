package org.crocusturn.core.controlhosts;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PersistentMap;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.UsageWindow;

/**
 * The latest counts that processes have reported, by window and workspace.
 *
 * <p>The counts of a process only increase, so that reports may be repeated and may arrive in any
 * order. Each process has its own windows: one whose time of day is far off does not displace the
 * counts of others.
 *
 * <p>Immutable.
 *
 * @param first number of the first window that is kept
 * @param processes counts by process and window
 * @param size number of counts
 */
public record UsageTable(
        long first,
        PersistentMap<Process, SortedMap<Long, PersistentMap<WorkspaceId, Long>>> processes,
        int size) {
    /** Number of latest windows that are kept of each process. */
    public static final int MAX_WINDOWS = 8;

    /**
     * Maximum number of counts: those of 10,000 workspaces, each at two processes because its group
     * may move within a window.
     */
    public static final int MAX_COUNTS = MAX_WINDOWS * 10_000 * 2;

    /** A table without counts. */
    public static final UsageTable EMPTY = new UsageTable(Long.MIN_VALUE, PersistentMap.empty(), 0);

    /** Rejects null maps. */
    public UsageTable {
        Objects.requireNonNull(processes, "processes");
    }

    /** A process that counts. */
    public record Process(HostId host, long incarnation) {
        /** Rejects a null host. */
        public Process {
            Objects.requireNonNull(host, "host");
        }
    }

    /** Returns whether further counts are left out. */
    public boolean isFull() {
        return size >= MAX_COUNTS;
    }

    /** Returns the number of the first window with counts, if there are any. */
    public Optional<Long> firstWindow() {
        return processes.values().map(SortedMap::firstKey).min(Long::compare);
    }

    /** Returns the requests that all processes have counted for a workspace in a window. */
    public long count(long window, WorkspaceId workspace) {
        return windows(window).mapToLong(c -> c.find(workspace).orElse(0L)).sum();
    }

    /** Returns what all processes have counted in a window. */
    public UsageWindow window(long number) {
        Map<WorkspaceId, Long> sums = new TreeMap<>();
        windows(number).forEach(c -> c.forEach((id, count) -> sums.merge(id, count, Long::sum)));
        return UsageWindow.of(number, sums);
    }

    private Stream<PersistentMap<WorkspaceId, Long>> windows(long number) {
        return processes.values().map(w -> w.get(number)).filter(Objects::nonNull);
    }

    /** Returns the table with the counts of a report. */
    public UsageTable with(UsageReport report) {
        Process process = new Process(report.host(), report.incarnation());
        SortedMap<Long, PersistentMap<WorkspaceId, Long>> windows =
                new TreeMap<>(processes.find(process).orElse(Collections.emptySortedMap()));
        int room = MAX_COUNTS - size;
        for (UsageWindow window : report.windows()) {
            if (window.number() >= first) {
                PersistentMap<WorkspaceId, Long> before =
                        windows.getOrDefault(window.number(), PersistentMap.empty());
                PersistentMap<WorkspaceId, Long> after = merge(before, window, room);
                room -= after.size() - before.size();
                windows.put(window.number(), after);
            }
        }
        while (windows.size() > MAX_WINDOWS) {
            windows.remove(windows.firstKey());
        }
        return withWindows(process, windows);
    }

    private static PersistentMap<WorkspaceId, Long> merge(
            PersistentMap<WorkspaceId, Long> counts, UsageWindow window, int room) {
        PersistentMap<WorkspaceId, Long> merged = counts;
        for (Map.Entry<WorkspaceId, Long> entry : window.counts().entrySet()) {
            Long known = merged.get(entry.getKey());
            boolean fits = known != null || merged.size() - counts.size() < room;
            if (fits && (known == null || known < entry.getValue())) {
                merged = merged.with(entry.getKey(), entry.getValue());
            }
        }
        return merged;
    }

    /** Returns the table without the windows before a given one, now and later. */
    public UsageTable withoutBefore(long window) {
        UsageTable next = new UsageTable(Math.max(first, window), processes, size);
        for (Process process : processes.keys().toList()) {
            SortedMap<Long, PersistentMap<WorkspaceId, Long>> windows = processes.get(process);
            if (windows.firstKey() < window) {
                next = next.withWindows(process, windows.tailMap(window));
            }
        }
        return next;
    }

    private UsageTable withWindows(
            Process process, SortedMap<Long, PersistentMap<WorkspaceId, Long>> windows) {
        int before = processes.find(process).map(UsageTable::size).orElse(0);
        return new UsageTable(
                first,
                windows.isEmpty()
                        ? processes.without(process)
                        : processes.with(
                                process, Collections.unmodifiableSortedMap(new TreeMap<>(windows))),
                size - before + size(windows));
    }

    private static int size(SortedMap<Long, PersistentMap<WorkspaceId, Long>> windows) {
        return windows.values().stream().mapToInt(PersistentMap::size).sum();
    }
}
