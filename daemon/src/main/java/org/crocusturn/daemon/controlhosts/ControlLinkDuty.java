package org.crocusturn.daemon.controlhosts;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.EntryHost;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.NotLeader;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;

/** Sends the reports of an entry host to the control leader and applies the leader's updates. */
public final class ControlLinkDuty implements DutyHandler<ControlLinkEvent> {
    private static final Logger LOG = LogManager.getLogger(ControlLinkDuty.class);

    /** Interval of regular reports of a leaseholder, in nanoseconds. */
    private static final long REPORT_INTERVAL_NANOS = 200_000_000;

    /**
     * Interval of regular reports of a host without leases, in nanoseconds. It only has to keep its
     * state fresh for 1.5 s, and counts as dead after 500 ms without a report.
     */
    private static final long IDLE_REPORT_INTERVAL_NANOS = 350_000_000;

    /**
     * Minimum time between two reports in nanoseconds, so that urgent ones cannot flood the leader.
     */
    private static final long MIN_REPORT_INTERVAL_NANOS = 5_000_000;

    /**
     * Minimum time between a report and a request for tokens of single workspaces, in nanoseconds.
     * With many workspaces, tokens of some run out all the time; at 50 requests/s the calls of a
     * host share them, and a call waits at most an eighth of an objective of 150 ms longer.
     */
    private static final long MIN_TOKEN_REQUEST_INTERVAL_NANOS = 20_000_000;

    /** Time that the leader gets to answer after the next report was due, in nanoseconds. */
    private static final long ANSWER_TIMEOUT_NANOS = 250_000_000;

    /** Interval of reports while the leader is unknown, each to another host, in nanoseconds. */
    private static final long SEARCH_INTERVAL_NANOS = 50_000_000;

    /**
     * The same for a host without leases, which can wait longer. A hundred hosts that search more
     * often keep the control hosts from electing a leader.
     */
    private static final long IDLE_SEARCH_INTERVAL_NANOS = 200_000_000;

    /**
     * Time for which a leader that stopped answering is not asked again, in nanoseconds. An
     * election is over by then; a host that was only cut off from its leader has to return to it.
     */
    private static final long SILENCE_NANOS = 1_000_000_000;

    private final EntryHost mSelf;
    private final BiPredicate<HostId, EntryReport> mSender;
    private final Consumer<ControlView> mOnView;
    private final Consumer<List<Member>> mOnMembers;
    private final Optional<UsageSender> mUsage;
    private final Set<HostId> mConnectedHosts = new HashSet<>();
    private final Set<EndpointId> mSuspects = new HashSet<>();
    private ControlView mView;
    private Optional<HostId> mLeader = Optional.empty();

    /** Leader that stopped answering, on the present link, and has sent nothing since. */
    private Optional<HostId> mSilentLeader = Optional.empty();

    private long mSilentUntilNanos;

    private long mLastHintNanos;
    private boolean mLeaderConfirmed;
    private List<HeldLease> mLeases = List.of();
    private List<TokenDemand> mDemands = List.of();
    private final Map<WorkspaceId, TokenDemand> mNeeded = new LinkedHashMap<>();
    private long mHoldingsTerm;
    private long mFullReportTerm;
    private long mFullReportSequence;
    private boolean mLeaving;
    private boolean mUrgent;
    private int mNextCandidate;
    private long mLastReportNanos;
    private long mLastFullReportNanos;
    private long mLastUpdateNanos;

    private ControlLinkDuty(
            EntryHost self,
            ControlView view,
            BiPredicate<HostId, EntryReport> sender,
            Consumer<ControlView> onView,
            Consumer<List<Member>> onMembers,
            Optional<UsageSender> usage) {
        mOnMembers = onMembers;
        mUsage = usage;
        mSelf = self;
        mView = view.ofProcess(self.incarnation());
        mSender = sender;
        mOnView = onView;
        mLastReportNanos = SteadyClock.nanoTime() - REPORT_INTERVAL_NANOS;
        mLastFullReportNanos = mLastReportNanos;
        mLastUpdateNanos = SteadyClock.nanoTime();
        mLastHintNanos = mLastReportNanos;
    }

    /**
     * Creates the handler of a host without metering; see {@link #create(EntryHost, ControlView,
     * BiPredicate, Consumer, Consumer, Optional)}.
     */
    public static ControlLinkDuty create(
            EntryHost self,
            ControlView view,
            BiPredicate<HostId, EntryReport> sender,
            Consumer<ControlView> onView,
            Consumer<List<Member>> onMembers) {
        return create(self, view, sender, onView, onMembers, Optional.empty());
    }

    /**
     * Creates the handler.
     *
     * @param self this host
     * @param view initial, empty view
     * @param sender sends a report over the link to a control host; returns false if it was not
     *     sent
     * @param onView consumer of each new view
     * @param onMembers consumer of the current control hosts, whenever a message lists them
     * @param usage sends usage reports; empty without metering
     */
    public static ControlLinkDuty create(
            EntryHost self,
            ControlView view,
            BiPredicate<HostId, EntryReport> sender,
            Consumer<ControlView> onView,
            Consumer<List<Member>> onMembers,
            Optional<UsageSender> usage) {
        return new ControlLinkDuty(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(view, "view"),
                Objects.requireNonNull(sender, "sender"),
                Objects.requireNonNull(onView, "onView"),
                Objects.requireNonNull(onMembers, "onMembers"),
                Objects.requireNonNull(usage, "usage"));
    }

    @Override
    public void onEvent(ControlLinkEvent event) {
        if (event instanceof ControlLinkEvent.LinkOpened opened) {
            mConnectedHosts.add(opened.host());
            endSilence(opened.host());
            mUsage.ifPresent(u -> u.onLinkOpened(opened.host(), SteadyClock.nanoTime()));
            mUrgent |= mLeader.isEmpty();
        } else if (event instanceof ControlLinkEvent.LinkClosed closed) {
            mConnectedHosts.remove(closed.host());
            mUsage.ifPresent(u -> u.onLinkClosed(closed.host()));
            clearLeader(closed.host(), "its link was closed");
        } else if (event instanceof ControlLinkEvent.MessageReceived received) {
            onMessage(received);
        } else if (event instanceof ControlLinkEvent.ReportChanged changed) {
            mLeases = changed.leases();
            mDemands = changed.demands();
            mHoldingsTerm = changed.holdingsTerm();
            mUrgent |= changed.urgent();
            mNeeded.replaceAll((workspace, demand) -> latest(demand));
        } else if (event instanceof ControlLinkEvent.TokensNeeded needed) {
            needed.demands().forEach(demand -> mNeeded.put(demand.workspace(), demand));
        } else if (event instanceof ControlLinkEvent.UsageCounted counted) {
            mUsage.ifPresent(u -> u.onCounted(counted.windows()));
        } else if (event instanceof ControlLinkEvent.EndpointSuspected suspected) {
            mUrgent |= mSuspects.add(suspected.endpoint());
        } else if (event instanceof ControlLinkEvent.HostStopping) {
            mLeaving = true;
            mUrgent = true;
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mLeader.isPresent()
                && nowNanos - mLastUpdateNanos >= reportIntervalNanos() + ANSWER_TIMEOUT_NANOS) {
            mSilentLeader = mLeader;
            mSilentUntilNanos = nowNanos + SILENCE_NANOS;
            clearLeader(mLeader.get(), "it has not answered in time");
        }
        boolean fullDue = fullReportDueNanos() - nowNanos <= 0;
        if (fullDue || tokenRequestDueNanos() - nowNanos <= 0) {
            sendReport(nowNanos, fullDue || !acceptsPartialDemands());
        }
        long next = Math.min(fullReportDueNanos(), tokenRequestDueNanos());
        return mUsage.map(u -> Math.min(next, u.onTimer(nowNanos, !mLeases.isEmpty())))
                .orElse(next);
    }

    private long fullReportDueNanos() {
        if (mUrgent) {
            return mLastReportNanos + MIN_REPORT_INTERVAL_NANOS;
        }
        return mLastFullReportNanos
                + (mLeaderConfirmed ? reportIntervalNanos() : searchIntervalNanos());
    }

    private long searchIntervalNanos() {
        return mLeases.isEmpty() ? IDLE_SEARCH_INTERVAL_NANOS : SEARCH_INTERVAL_NANOS;
    }

    private long reportIntervalNanos() {
        return mLeases.isEmpty() ? IDLE_REPORT_INTERVAL_NANOS : REPORT_INTERVAL_NANOS;
    }

    /** A leader that has not answered the last report yet gets no further request for tokens. */
    private long tokenRequestDueNanos() {
        boolean answered = mView.answeredSequence() >= mView.nextSequence() - 1;
        return mNeeded.isEmpty() || mLeader.isEmpty() || !answered
                ? mLastReportNanos + REPORT_INTERVAL_NANOS
                : mLastReportNanos + MIN_TOKEN_REQUEST_INTERVAL_NANOS;
    }

    /**
     * Returns whether the leader has answered a report that stated all tokens of this host.
     * Earlier, a leader must see every holding in one report.
     */
    private boolean acceptsPartialDemands() {
        return mLeader.isPresent()
                && mFullReportTerm == mView.leaderTerm()
                && mView.answeredSequence() >= mFullReportSequence;
    }

    private TokenDemand latest(TokenDemand demand) {
        return mDemands.stream()
                .filter(d -> d.workspace().equals(demand.workspace()))
                .findFirst()
                .orElse(demand);
    }

    private void sendReport(long nowNanos, boolean full) {
        mLastReportNanos = nowNanos;
        if (full) {
            mLastFullReportNanos = nowNanos;
            mUrgent = false;
        }
        List<TokenDemand> demands = full ? allDemands() : List.copyOf(mNeeded.values());
        mDemands = allDemands();
        mNeeded.clear();
        Optional<HostId> target = mLeader.or(this::nextCandidate);
        if (target.isEmpty()) {
            return;
        }
        if (full && mFullReportTerm != mHoldingsTerm) {
            mFullReportTerm = mHoldingsTerm;
            mFullReportSequence = mView.nextSequence();
        }
        EntryReport report =
                mView.nextReport(
                        mSelf,
                        mLeases,
                        demands,
                        full ? mHoldingsTerm : 0,
                        Set.copyOf(mSuspects),
                        mLeaving);
        // Lease times count from before the send, so that this host never assumes a longer lease
        // than the leader granted.
        mView = mView.withReportSent(report.sequence(), SteadyClock.nanoTime());
        EntryReport timed =
                mUsage.map(u -> report.withTimeOfDay(u.timeOfDayMillis())).orElse(report);
        if (mSender.test(target.get(), timed) && mLeader.isPresent()) {
            mSuspects.clear();
        }
    }

    /** Returns the demands of all workspaces, with the later ones of single workspaces. */
    private List<TokenDemand> allDemands() {
        if (mNeeded.isEmpty()) {
            return mDemands;
        }
        Map<WorkspaceId, TokenDemand> all = new LinkedHashMap<>();
        mDemands.forEach(demand -> all.put(demand.workspace(), demand));
        all.putAll(mNeeded);
        return List.copyOf(all.values());
    }

    private Optional<HostId> nextCandidate() {
        List<HostId> connected =
                mConnectedHosts.stream().filter(h -> !isSilent(h)).sorted().toList();
        if (connected.isEmpty()) {
            return mSilentLeader.filter(mConnectedHosts::contains);
        }
        mNextCandidate = (mNextCandidate + 1) % connected.size();
        return Optional.of(connected.get(mNextCandidate));
    }

    private boolean isSilent(HostId host) {
        return mSilentLeader.equals(Optional.of(host))
                && mSilentUntilNanos - SteadyClock.nanoTime() > 0;
    }

    private void endSilence(HostId host) {
        mSilentLeader = mSilentLeader.filter(silent -> !silent.equals(host));
    }

    private void onMessage(ControlLinkEvent.MessageReceived received) {
        endSilence(received.host());
        if (received.message() instanceof ControlUpdate update) {
            applyUpdate(received.host(), update);
        } else if (received.message() instanceof NotLeader notLeader) {
            if (!notLeader.members().isEmpty()) {
                mOnMembers.accept(notLeader.members());
            }
            onNotLeader(received.host(), notLeader);
        } else if (received.message() instanceof UsageReceipt receipt) {
            mUsage.ifPresent(u -> u.onReceipt(receipt));
        }
    }

    /**
     * Handles the answer of a host that does not lead, or the notice of a host that has begun to
     * lead. A host that it names gets a report at once if this host holds leases, but only once in
     * a search interval. If each of a hundred hosts reported again at each answer, a new leader
     * would have no time to begin.
     *
     * <p>Followers name the earlier leader until the next one is elected. Waiting for its answers
     * again would take longer than a lease lasts.
     */
    private void onNotLeader(HostId host, NotLeader message) {
        boolean newer = message.term() > mView.leaderTerm();
        if (mLeaderConfirmed && !mLeader.equals(Optional.of(host)) && !newer) {
            return;
        }
        if (mLeaderConfirmed && !newer) {
            LOG.info(
                    "controlhosts: {} is not the leader any more: it has answered that it is not"
                            + " the leader",
                    host);
        }
        mLeaderConfirmed = false;
        mLeader =
                message.leader()
                        .filter(mConnectedHosts::contains)
                        .filter(named -> newer || !isSilent(named));
        mLastUpdateNanos = SteadyClock.nanoTime();
        boolean paced = mLastUpdateNanos - mLastHintNanos < searchIntervalNanos();
        boolean other = !mLeader.equals(Optional.of(host)) || newer && !mLeases.isEmpty();
        if (mLeader.isPresent() && other && !paced) {
            mLastHintNanos = mLastUpdateNanos;
            mUrgent = true;
        }
    }

    private void applyUpdate(HostId host, ControlUpdate update) {
        if (mView.isOutdated(update)) {
            return;
        }
        ControlView next = mView.withUpdate(update, SteadyClock.nanoTime());
        if (!mLeader.equals(Optional.of(host))) {
            LOG.info("controlhosts: {} leads in term {}", host, update.leaderTerm());
        }
        mLeader = Optional.of(host);
        mLeaderConfirmed = true;
        mLastUpdateNanos = SteadyClock.nanoTime();
        mView = next;
        if (!update.members().isEmpty()) {
            mOnMembers.accept(update.members());
        }
        mOnView.accept(next);
    }

    private void clearLeader(HostId host, String reason) {
        if (mLeader.equals(Optional.of(host))) {
            LOG.info("controlhosts: {} is not the leader any more: {}", host, reason);
            mLeader = Optional.empty();
            mLeaderConfirmed = false;
            mUrgent = true;
        }
    }
}
