package org.crocusturn.daemon.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.endpoints.CopyProgress;
import org.crocusturn.core.endpoints.OpeningReason;
import org.crocusturn.core.endpoints.PositionHistory;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.ConfigurationValidator;
import org.crocusturn.core.operators.EndpointRecord;

/** State and connection pool of one copy, as seen by the leaseholder; not thread-safe. */
final class CopyPool {
    /** Connections left free for the next leaseholder while those of a dead one still count. */
    private static final int RESERVED_CONNECTIONS = 3;

    private final List<PooledSession> mSessions = new ArrayList<>();
    private final Map<WorkspaceId, List<PooledSession>> mByWorkspace = new HashMap<>();
    private final Set<WorkspaceId> mClosedForRoom = new HashSet<>();
    private EndpointRecord mRecord;
    private Health mHealth = Health.UNKNOWN;
    private CopyProgress mProgress = CopyProgress.UNKNOWN;
    private Optional<ReplicationStatus> mStatus = Optional.empty();
    private int mConnections;
    private int mSlots;
    private int mRunningCount;
    private boolean mWarmingUp;

    /** Result of the last attempt to reach a copy. */
    enum Health {
        UNKNOWN,
        UP,
        DOWN
    }

    CopyPool(EndpointRecord record, int connections) {
        update(record, connections);
    }

    EndpointRecord record() {
        return mRecord;
    }

    void update(EndpointRecord record, int connections) {
        mRecord = record;
        mConnections = connections;
        mSlots =
                record.databases().stream()
                        .findFirst()
                        .map(d -> Math.min(d.slots(), ConfigurationValidator.MAX_SLOTS))
                        .orElse(1);
    }

    /** Returns whether a record describes the same incarnation of the same endpoint. */
    boolean isSameAs(EndpointRecord record) {
        return record.id().equals(mRecord.id()) && record.incarnation() == mRecord.incarnation();
    }

    Health health() {
        return mHealth;
    }

    void setHealth(Health health) {
        mHealth = health;
    }

    CopyProgress progress() {
        return mProgress;
    }

    /** Records a log position that the copy reported. */
    void recordPosition(LogPosition position, PositionHistory history, long nowNanos) {
        mProgress = mProgress.withReport(position, history, nowNanos);
    }

    /** Records that the copy reported that it has not applied a position. */
    void recordMissing(LogPosition needed, PositionHistory history, long nowNanos) {
        mProgress =
                mProgress.withMissingPosition(
                        nowNanos - history.acknowledgedNanos(needed), nowNanos);
    }

    /** Returns the last reported status, which may be out of date. */
    Optional<ReplicationStatus> status() {
        return mStatus;
    }

    void setStatus(Optional<ReplicationStatus> status) {
        mStatus = status;
    }

    /** Returns the newest position that the copy is known to have received or applied. */
    LogPosition newestPosition() {
        return mStatus.map(ReplicationStatus::received)
                .orElse(LogPosition.ZERO)
                .max(mProgress.position());
    }

    /** Returns the slots of the copy, limited so that sums and queue limits do not overflow. */
    int slots() {
        return mSlots;
    }

    int runningCount() {
        return mRunningCount;
    }

    boolean hasFreeSlot() {
        return mRunningCount < slots();
    }

    void statementStarted() {
        mRunningCount++;
    }

    void statementFinished() {
        mRunningCount--;
    }

    /** Returns whether connections are being opened before statements need them. */
    boolean isWarmingUp() {
        return mWarmingUp;
    }

    void setWarmingUp(boolean warmingUp) {
        mWarmingUp = warmingUp;
    }

    List<PooledSession> sessions() {
        return mSessions;
    }

    void add(PooledSession session) {
        mSessions.add(session);
        mByWorkspace.computeIfAbsent(session.workspace(), w -> new ArrayList<>()).add(session);
        mClosedForRoom.remove(session.workspace());
    }

    /** Records that a connection of a workspace was closed to make room for another workspace. */
    void recordClosedForRoom(WorkspaceId workspace) {
        mClosedForRoom.add(workspace);
    }

    /** Returns why a call of a workspace needs a new connection. */
    OpeningReason openingReason(WorkspaceId workspace) {
        List<PooledSession> own = sessions(workspace);
        return OpeningReason.of(
                own.size(),
                (int) own.stream().filter(PooledSession::isIdle).count(),
                mClosedForRoom.contains(workspace));
    }

    void remove(PooledSession session) {
        mSessions.remove(session);
        mByWorkspace.computeIfPresent(
                session.workspace(),
                (workspace, own) -> own.remove(session) && own.isEmpty() ? null : own);
    }

    private List<PooledSession> sessions(WorkspaceId workspace) {
        return mByWorkspace.getOrDefault(workspace, List.of());
    }

    /** Returns the idle connection for a call that needs the fewest setup commands. */
    Optional<PooledSession> findIdle(SessionCall call) {
        return sessions(call.workspace()).stream()
                .filter(PooledSession::isIdle)
                .filter(s -> s.suits(call, mProgress.position()))
                .min(
                        Comparator.<PooledSession>comparingInt(s -> s.setupCost(call.values()))
                                .thenComparing(Comparator.comparingLong(s -> -s.lastUsedNanos())));
    }

    /** Returns whether another connection may be opened. */
    boolean canOpenConnection() {
        return mSessions.size() < Math.max(1, mConnections - RESERVED_CONNECTIONS);
    }

    /**
     * Returns the connections that may be planned. Some are left for workspaces beyond the plan, so
     * that these do not displace each other's and those of the plan in turn.
     */
    int plannableConnections() {
        return Math.max(1, mConnections - RESERVED_CONNECTIONS - 1 - slots());
    }

    /** Returns whether a workspace has connections to the copy, idle or not. */
    boolean isConnected(WorkspaceId workspace) {
        return mByWorkspace.containsKey(workspace);
    }

    /** Returns whether a connection is available now, possibly by evicting an idle one. */
    boolean hasAvailableConnection() {
        return canOpenConnection() || mSessions.stream().anyMatch(PooledSession::isIdle);
    }
}
