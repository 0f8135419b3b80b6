package org.crocusturn.daemon.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.endpoints.CopyProgress;
import org.crocusturn.core.endpoints.PositionHistory;
import org.crocusturn.core.endpoints.ReplicationStatus;
import org.crocusturn.core.operators.EndpointRecord;

/** Holds what a leaseholder knows of one copy, and its connections; belongs to one thread. */
final class CopyPool {
    /** Connections left to a successor while those of a dead leaseholder are still counted. */
    private static final int RESERVED = 3;

    private final List<PooledSession> mSessions = new ArrayList<>();
    private EndpointRecord mRecord;
    private Health mHealth = Health.UNKNOWN;
    private CopyProgress mProgress = CopyProgress.UNKNOWN;
    private Optional<ReplicationStatus> mStatus = Optional.empty();
    private int mConnections;
    private int mRunning;

    /** Is what the last attempt to reach a copy showed. */
    enum Health {
        UNKNOWN,
        UP,
        DOWN
    }

    CopyPool(EndpointRecord record, int connections) {
        mRecord = record;
        mConnections = connections;
    }

    EndpointRecord record() {
        return mRecord;
    }

    void update(EndpointRecord record, int connections) {
        mRecord = record;
        mConnections = connections;
    }

    /** Returns whether a record is of the same start of the same endpoint. */
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

    /** Takes the position that an answer of the copy told. */
    void told(LogPosition position, PositionHistory history, long nowNanos) {
        mProgress = mProgress.withReport(position, history, nowNanos);
    }

    /** Takes it that the copy said it lacks a position. */
    void lacks(LogPosition needed, PositionHistory history, long nowNanos) {
        mProgress =
                mProgress.withMissingPosition(
                        nowNanos - history.acknowledgedNanos(needed), nowNanos);
    }

    /** Returns what the copy told last when it was asked; it may have changed since. */
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

    int slots() {
        return mRecord.databases().isEmpty() ? 1 : mRecord.databases().get(0).slots();
    }

    int running() {
        return mRunning;
    }

    void started() {
        mRunning++;
    }

    void finished() {
        mRunning--;
    }

    List<PooledSession> sessions() {
        return mSessions;
    }

    void add(PooledSession session) {
        mSessions.add(session);
    }

    void remove(PooledSession session) {
        mSessions.remove(session);
    }

    /** Returns the idle connection of a workspace that needs the fewest commands. */
    Optional<PooledSession> idle(WorkspaceId workspace, Map<String, String> values) {
        return mSessions.stream()
                .filter(s -> s.isIdle() && s.workspace().equals(workspace))
                .min(
                        Comparator.<PooledSession>comparingInt(s -> s.distance(values))
                                .thenComparing(Comparator.comparingLong(s -> -s.usedNanos())));
    }

    /** Returns whether another connection may be opened. */
    boolean hasRoom() {
        return mSessions.size() < Math.max(1, mConnections - RESERVED);
    }

    /** Returns the idle connection that was used longest ago, to be closed for another. */
    Optional<PooledSession> oldestIdle() {
        return mSessions.stream()
                .filter(PooledSession::isIdle)
                .min(Comparator.comparingLong(PooledSession::usedNanos));
    }

    /** Returns whether a statement could get a connection now, if need be in place of another. */
    boolean canConnect() {
        return hasRoom() || mSessions.stream().anyMatch(PooledSession::isIdle);
    }
}
