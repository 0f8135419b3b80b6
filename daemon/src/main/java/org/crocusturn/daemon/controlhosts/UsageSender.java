package org.crocusturn.daemon.controlhosts;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.EntryHost;
import org.crocusturn.core.controlhosts.TrueTime;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.core.operators.UsageWindow;
import org.crocusturn.core.platform.UsageWindows;

/**
 * Sends the usage that a process has counted over its links to control hosts, and derives true time
 * from their receipts.
 *
 * <p>All control hosts get the counts, so that they survive the loss of the leader and this process
 * together. Not thread-safe but for the clocks: used only by the thread of {@link ControlLinkDuty}.
 */
public final class UsageSender {
    /** Interval of reports on a link without changed counts, for their receipts. */
    private static final long IDLE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /** The same while there is no receipt to derive true time from. */
    private static final long SEARCH_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

    /** Time after which a report that a link did not accept is sent again. */
    private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

    /** Number of the latest reports whose receipts are used; at least 12 s. */
    private static final int MAX_AWAITED_RECEIPTS = 64;

    private final EntryHost mSelf;
    private final UsageWindows mWindows;
    private final BiPredicate<HostId, UsageReport> mLink;
    private final LongSupplier mNanoTime;
    private final LongSupplier mTimeOfDayMillis;
    private final Map<HostId, Link> mLinks = new TreeMap<>();
    private final SortedMap<Long, Map<WorkspaceId, Cell>> mCounts = new TreeMap<>();
    private final TreeMap<Long, Long> mSentNanos = new TreeMap<>();
    private long mSequence;
    private long mLastChange;
    private volatile TrueTime mTrueTime;

    private UsageSender(
            EntryHost self,
            UsageWindows windows,
            BiPredicate<HostId, UsageReport> link,
            LongSupplier nanoTime,
            LongSupplier timeOfDayMillis) {
        mSelf = self;
        mWindows = windows;
        mLink = link;
        mNanoTime = nanoTime;
        mTimeOfDayMillis = timeOfDayMillis;
        mTrueTime = TrueTime.start(nanoTime.getAsLong(), timeOfDayMillis.getAsLong());
    }

    /** Count of a workspace, and the sequence of the first report that has it. */
    private record Cell(long count, long sequence) {}

    /**
     * State of an open link.
     *
     * @param sequence latest report that was sent on the link; 0 if none was
     * @param triedNanos time of the latest attempt to send
     * @param accepted whether the link accepted that report
     */
    private record Link(long sequence, long triedNanos, boolean accepted) {}

    /**
     * Creates a sender.
     *
     * @param self this process
     * @param windows windows of usage
     * @param link sends a report over the link to a control host; returns false if it was not sent
     */
    public static UsageSender create(
            EntryHost self, UsageWindows windows, BiPredicate<HostId, UsageReport> link) {
        return create(self, windows, link, System::nanoTime, System::currentTimeMillis);
    }

    /** Creates a sender with other clocks. */
    static UsageSender create(
            EntryHost self,
            UsageWindows windows,
            BiPredicate<HostId, UsageReport> link,
            LongSupplier nanoTime,
            LongSupplier timeOfDayMillis) {
        return new UsageSender(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(windows, "windows"),
                Objects.requireNonNull(link, "link"),
                Objects.requireNonNull(nanoTime, "nanoTime"),
                Objects.requireNonNull(timeOfDayMillis, "timeOfDayMillis"));
    }

    /** Returns the true time in milliseconds since 1970; called from any thread. */
    public long trueTimeMillis() {
        return mTrueTime.millisAt(mNanoTime.getAsLong());
    }

    /** Returns the time of day of this host in milliseconds since 1970. */
    long timeOfDayMillis() {
        return mTimeOfDayMillis.getAsLong();
    }

    /** Sends all counts on a link that has opened. */
    void onLinkOpened(HostId host, long nowNanos) {
        mLinks.put(host, new Link(0, nowNanos - IDLE_INTERVAL_NANOS, true));
    }

    void onLinkClosed(HostId host) {
        mLinks.remove(host);
    }

    /** Records counts that have changed; they are sent at the next call of the timer. */
    void onCounted(List<UsageWindow> changed) {
        mLastChange = mSequence + 1;
        changed.forEach(
                window -> {
                    Map<WorkspaceId, Cell> cells =
                            mCounts.computeIfAbsent(window.number(), n -> new HashMap<>());
                    window.counts()
                            .forEach((id, count) -> cells.put(id, new Cell(count, mLastChange)));
                });
    }

    void onReceipt(UsageReceipt receipt) {
        observeClocks();
        Long sentNanos = mSentNanos.remove(receipt.sequence());
        if (sentNanos != null) {
            mTrueTime =
                    mTrueTime.withReceipt(
                            sentNanos, mNanoTime.getAsLong(), receipt.trueTimeMillis());
        }
    }

    private void observeClocks() {
        mTrueTime = mTrueTime.observed(mNanoTime.getAsLong(), mTimeOfDayMillis.getAsLong());
    }

    /**
     * Sends the reports that are due and returns the time of the next call.
     *
     * @param nowNanos current time of the duty
     * @param hasLeases whether this process holds leases
     */
    long onTimer(long nowNanos, boolean hasLeases) {
        observeClocks();
        mCounts.keySet().removeIf(number -> !mWindows.isKept(number, trueTimeMillis()));
        Map<HostId, Link> due =
                mLinks.entrySet().stream()
                        .filter(e -> dueNanos(e.getValue(), nowNanos, hasLeases) - nowNanos <= 0)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        if (!due.isEmpty()) {
            send(due, nowNanos);
        }
        return mLinks.values().stream()
                .mapToLong(link -> dueNanos(link, nowNanos, hasLeases))
                .reduce((first, second) -> first - second <= 0 ? first : second)
                .orElse(nowNanos + IDLE_INTERVAL_NANOS);
    }

    private long dueNanos(Link link, long nowNanos, boolean hasLeases) {
        if (mLastChange > link.sequence()) {
            return link.accepted() ? nowNanos : link.triedNanos() + RETRY_INTERVAL_NANOS;
        }
        boolean search = mTrueTime.needsReceipt();
        return hasLeases
                ? link.triedNanos() + (search ? SEARCH_INTERVAL_NANOS : IDLE_INTERVAL_NANOS)
                : nowNanos + IDLE_INTERVAL_NANOS;
    }

    private void send(Map<HostId, Link> due, long nowNanos) {
        long sequence = ++mSequence;
        // Read before the send, so that the time in which the process prepares it counts.
        mSentNanos.put(sequence, mNanoTime.getAsLong());
        if (mSentNanos.size() > MAX_AWAITED_RECEIPTS) {
            mSentNanos.pollFirstEntry();
        }
        Map<Long, UsageReport> reports = new HashMap<>();
        due.forEach(
                (host, link) -> {
                    UsageReport report =
                            reports.computeIfAbsent(
                                    link.sequence(), since -> report(sequence, since));
                    boolean accepted = mLink.test(host, report);
                    mLinks.put(
                            host,
                            new Link(accepted ? sequence : link.sequence(), nowNanos, accepted));
                });
    }

    private UsageReport report(long sequence, long since) {
        return new UsageReport(
                mSelf.host(),
                mSelf.incarnation(),
                sequence,
                mCounts.entrySet().stream()
                        .map(e -> changedSince(e.getKey(), e.getValue(), since))
                        .filter(window -> !window.counts().isEmpty())
                        .toList());
    }

    private static UsageWindow changedSince(
            long number, Map<WorkspaceId, Cell> cells, long sequence) {
        return UsageWindow.of(
                number,
                cells.entrySet().stream()
                        .filter(e -> e.getValue().sequence() > sequence)
                        .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().count())));
    }
}
