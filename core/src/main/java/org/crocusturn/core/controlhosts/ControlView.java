package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;

/**
 * An entry host's copy of the replicated state, with the leases and tokens that the control leader
 * granted.
 *
 * <p>Immutable. All times are monotonic nanoseconds of this host. Every granted duration counts
 * from the sending of the report that the update answers, so that network delays only shorten it.
 * An update is ignored if its report is unknown or if it belongs to an older leader term.
 */
public final class ControlView {
    /** Number of reports whose sending time is kept; at one report every 200 ms they cover 12 s. */
    private static final int MAX_TRACKED_REPORTS = 64;

    /** Time for which a grant id is kept after its last receipt; a grant is valid for 1 s. */
    private static final long GRANT_ID_RETENTION_NANOS = 10_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Bits of a sequence that count the reports of one process. */
    private static final int SEQUENCE_BITS = 32;

    private final StateApplier mApplier;
    private final ControlState mState;
    private final long mLeaderTerm;
    private final long mAnsweredSequence;
    private final long mNextSequence;
    private final Map<Long, Long> mReportSentNanos;
    private final Optional<Long> mFirstReportNanos;
    private final long mUptimeNanos;
    private final Optional<Long> mFreshUntilNanos;
    private final Map<GroupId, GrantedLease> mLeases;
    private final Map<Long, Long> mSeenGrants;
    private final List<GrantedTokens> mNewTokens;

    private ControlView(Builder builder) {
        mApplier = builder.mApplier;
        mState = builder.mState;
        mLeaderTerm = builder.mLeaderTerm;
        mAnsweredSequence = builder.mAnsweredSequence;
        mNextSequence = builder.mNextSequence;
        mReportSentNanos = Map.copyOf(builder.mReportSentNanos);
        mFirstReportNanos = builder.mFirstReportNanos;
        mUptimeNanos = builder.mUptimeNanos;
        mFreshUntilNanos = builder.mFreshUntilNanos;
        mLeases = Map.copyOf(builder.mLeases);
        mSeenGrants = Map.copyOf(builder.mSeenGrants);
        mNewTokens = List.copyOf(builder.mNewTokens);
    }

    /**
     * A group lease whose expiry is given on the clock of this host.
     *
     * @param epoch epoch of the lease
     * @param expiresNanos time at which the lease expires
     * @param acknowledgeTerm term for which writes may be acknowledged; 0 for none
     * @param latestAcknowledgeTerm latest term for which writes could be acknowledged
     * @param latestAcknowledgeUntilNanos time until which running writes of that term may still be
     *     acknowledged; the leader assumes the same time
     * @param move whether the holder should release the lease
     */
    public record GrantedLease(
            long epoch,
            long expiresNanos,
            long acknowledgeTerm,
            long latestAcknowledgeTerm,
            long latestAcknowledgeUntilNanos,
            boolean move) {}

    /** Mutable parts from which one method call builds the next view. */
    private static final class Builder {
        private StateApplier mApplier;
        private ControlState mState = ControlState.EMPTY;
        private long mLeaderTerm;
        private long mAnsweredSequence;
        private long mNextSequence = 1;
        private Map<Long, Long> mReportSentNanos = Map.of();
        private Optional<Long> mFirstReportNanos = Optional.empty();
        private long mUptimeNanos;
        private Optional<Long> mFreshUntilNanos = Optional.empty();
        private Map<GroupId, GrantedLease> mLeases = Map.of();
        private Map<Long, Long> mSeenGrants = Map.of();
        private List<GrantedTokens> mNewTokens = List.of();
    }

    /** Creates an empty view that applies commands with the state machine of the control hosts. */
    public static ControlView empty() {
        return empty(
                (state, command) ->
                        ControlStateMachine.apply(state, command.version(), command.command())
                                .state());
    }

    /**
     * Returns an empty view whose reports have other sequences than those of other processes of the
     * host, so that an update which answers a report of an earlier process is outdated.
     *
     * @param incarnation random number drawn at the start of the process
     */
    public ControlView ofProcess(long incarnation) {
        Builder builder = toBuilder();
        builder.mNextSequence = ((incarnation >>> (SEQUENCE_BITS + 1)) << SEQUENCE_BITS) + 1;
        return new ControlView(builder);
    }

    /** Creates an empty view that applies commands with the given applier. */
    public static ControlView empty(StateApplier applier) {
        Builder builder = new Builder();
        builder.mApplier = Objects.requireNonNull(applier, "applier");
        return new ControlView(builder);
    }

    /** Returns the copy of the replicated state. */
    public ControlState state() {
        return mState;
    }

    /** Returns the consensus term of the latest leader; 0 before the first update. */
    public long leaderTerm() {
        return mLeaderTerm;
    }

    /** Returns the sequence that the next report has to carry. */
    public long nextSequence() {
        return mNextSequence;
    }

    /** Returns the sequence of the latest answered report; 0 if none was answered. */
    public long answeredSequence() {
        return mAnsweredSequence;
    }

    /** Returns whether the view is recent enough for the host to accept new requests. */
    public boolean isFresh(long nowNanos) {
        return mFreshUntilNanos.isPresent() && mFreshUntilNanos.get() - nowNanos > 0;
    }

    /** Returns the lease of a group as last granted, even if it has expired. */
    public Optional<GrantedLease> lease(GroupId group) {
        return Optional.ofNullable(mLeases.get(group));
    }

    /** Returns all leases as last granted, including expired ones. */
    public Map<GroupId, GrantedLease> leases() {
        return mLeases;
    }

    /** Returns whether this host holds a valid lease of a group. */
    public boolean isLeaseValid(GroupId group, long nowNanos) {
        GrantedLease lease = mLeases.get(group);
        return lease != null && lease.expiresNanos() - nowNanos > 0;
    }

    /** Returns the term for which this host may acknowledge writes of a group; 0 for none. */
    public long acknowledgeTerm(GroupId group, long nowNanos) {
        return isLeaseValid(group, nowNanos) ? mLeases.get(group).acknowledgeTerm() : 0;
    }

    /** Returns whether the host should release the lease of a group. */
    public boolean moving(GroupId group) {
        return lease(group).map(GrantedLease::move).orElse(false);
    }

    /** Returns the tokens that the latest update granted for the first time. */
    public List<GrantedTokens> newTokens() {
        return mNewTokens;
    }

    /**
     * Returns the next report; the caller records its sending with {@link #withReportSent}.
     *
     * @param host the entry host
     * @param leases group leases that the host holds or released
     * @param demands rate tokens that the host needs
     * @param holdingsTerm latest leader term for which the demands report all tokens that the host
     *     holds
     * @param suspects endpoints that refused or reset a connection
     * @param leaving whether the host is stopping
     */
    public EntryReport nextReport(
            EntryHost host,
            List<HeldLease> leases,
            List<TokenDemand> demands,
            long holdingsTerm,
            Set<EndpointId> suspects,
            boolean leaving) {
        return new EntryReport(
                        host.host(),
                        host.incarnation(),
                        host.dataCentre(),
                        host.linkAddress(),
                        mNextSequence,
                        mState.version(),
                        leases,
                        demands,
                        suspects,
                        leaving,
                        mAnsweredSequence,
                        holdingsTerm,
                        host.relayCapacity())
                .withUptime(mUptimeNanos / NANOS_PER_MILLI);
    }

    /** Returns a copy that records the sending time of a report. */
    public ControlView withReportSent(long sequence, long nowNanos) {
        Builder builder = toBuilder();
        Map<Long, Long> sent = new HashMap<>(mReportSentNanos);
        sent.putIfAbsent(sequence, nowNanos);
        sent.remove(sequence - MAX_TRACKED_REPORTS);
        builder.mReportSentNanos = sent;
        builder.mNextSequence = Math.max(mNextSequence, sequence + 1);
        builder.mFirstReportNanos = Optional.of(mFirstReportNanos.orElse(nowNanos));
        builder.mUptimeNanos = nowNanos - builder.mFirstReportNanos.get();
        return new ControlView(builder);
    }

    /**
     * Returns whether an update belongs to an older leader term, an earlier report or no report, so
     * that it grants and changes nothing and does not show who leads.
     */
    public boolean isOutdated(ControlUpdate update) {
        return !mReportSentNanos.containsKey(update.sequence())
                || update.leaderTerm() < mLeaderTerm
                || update.leaderTerm() == mLeaderTerm && update.sequence() < mAnsweredSequence;
    }

    /** Returns a copy after an update; an outdated update grants and changes nothing. */
    public ControlView withUpdate(ControlUpdate update, long nowNanos) {
        Builder builder = toBuilder();
        if (isOutdated(update)) {
            return new ControlView(builder);
        }
        long sent = mReportSentNanos.get(update.sequence());
        builder.mLeaderTerm = update.leaderTerm();
        builder.mAnsweredSequence = Math.max(mAnsweredSequence, update.sequence());
        builder.mState = applyUpdate(update.state());
        // Without a duration, or after the loss of changes, the update does not confirm that the
        // state is current.
        if (update.freshnessMillis() > 0 && builder.mState.version() >= update.version()) {
            long freshUntil = sent + update.freshnessMillis() * 1_000_000;
            builder.mFreshUntilNanos =
                    Optional.of(
                            mFreshUntilNanos.map(f -> Math.max(f, freshUntil)).orElse(freshUntil));
        }
        builder.mLeases = updatedLeases(update, sent);
        collectNewTokens(builder, update, sent, nowNanos);
        return new ControlView(builder);
    }

    private ControlState applyUpdate(StateUpdate update) {
        if (update instanceof StateUpdate.Replacement replacement) {
            return replacement.state().version() >= mState.version() ? replacement.state() : mState;
        }
        ControlState state = mState;
        if (update instanceof StateUpdate.Changes changes
                && changes.baseVersion() <= state.version()) {
            for (StateUpdate.VersionedCommand command : changes.commands()) {
                state =
                        command.version() > state.version()
                                ? mApplier.apply(state, command)
                                : state;
            }
        }
        return state;
    }

    private Map<GroupId, GrantedLease> updatedLeases(ControlUpdate update, long sent) {
        Map<GroupId, GrantedLease> leases = new HashMap<>();
        for (LeaseGrant grant : update.leases()) {
            GrantedLease old = mLeases.get(grant.group());
            if (old != null && old.epoch() > grant.epoch()) {
                leases.put(grant.group(), old);
                continue;
            }
            long until = sent + grant.durationMillis() * 1_000_000;
            boolean same = old != null && old.epoch() == grant.epoch();
            leases.put(grant.group(), renewedLease(grant, until, same ? old : null));
        }
        return leases;
    }

    /** Returns a lease after a grant; the old lease has the same epoch or is null. */
    private static GrantedLease renewedLease(LeaseGrant grant, long until, GrantedLease old) {
        long latest = old == null ? until : Math.max(old.expiresNanos(), until);
        boolean keepsLatest = grant.acknowledgeTerm() == 0 && old != null;
        return new GrantedLease(
                grant.epoch(),
                latest,
                grant.acknowledgeTerm(),
                keepsLatest ? old.latestAcknowledgeTerm() : grant.acknowledgeTerm(),
                keepsLatest ? old.latestAcknowledgeUntilNanos() : latest,
                grant.move());
    }

    private void collectNewTokens(Builder builder, ControlUpdate update, long sent, long nowNanos) {
        Map<Long, Long> seenGrants =
                new HashMap<>(update.leaderTerm() == mLeaderTerm ? mSeenGrants : Map.of());
        seenGrants.values().removeIf(at -> nowNanos - at > GRANT_ID_RETENTION_NANOS);
        List<GrantedTokens> newTokens = new ArrayList<>();
        for (TokenGrant grant : update.tokens()) {
            long expires = sent + grant.durationMillis() * 1_000_000;
            if (seenGrants.put(grant.id(), nowNanos) == null && expires - nowNanos > 0) {
                newTokens.add(new GrantedTokens(grant.workspace(), grant.tokens(), expires));
            }
        }
        builder.mSeenGrants = seenGrants;
        builder.mNewTokens = newTokens;
    }

    private Builder toBuilder() {
        Builder builder = new Builder();
        builder.mApplier = mApplier;
        builder.mState = mState;
        builder.mLeaderTerm = mLeaderTerm;
        builder.mAnsweredSequence = mAnsweredSequence;
        builder.mNextSequence = mNextSequence;
        builder.mReportSentNanos = mReportSentNanos;
        builder.mFirstReportNanos = mFirstReportNanos;
        builder.mUptimeNanos = mUptimeNanos;
        builder.mFreshUntilNanos = mFreshUntilNanos;
        builder.mLeases = mLeases;
        builder.mSeenGrants = mSeenGrants;
        builder.mNewTokens = List.of();
        return builder;
    }
}
