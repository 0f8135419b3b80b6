package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.endpoints.RequestId;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.daemon.endpoints.EndpointJson;
import org.crocusturn.daemon.endpoints.JsonFields;
import org.crocusturn.daemon.endpoints.RequestIds;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Pulls log entries for one copy from its primary and applies them once they reach the configured
 * lag.
 *
 * <p>All state except the event sink is confined to the thread of the duty.
 */
final class ReplicationDuty implements DutyHandler<ReplicationEvent> {
    private static final Logger LOG = LogManager.getLogger(ReplicationDuty.class);

    private static final int OK = 200;

    /**
     * Maximum time that a primary without new entries delays its answer; bounds the reported age of
     * the data.
     */
    private static final long LONG_POLL_MILLIS = 50;

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_DELAY_NANOS = 50_000_000;
    private static final long IDLE_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Limit of entries that wait for the lag; no more are pulled until some have been applied. */
    private static final int MAX_PENDING_ENTRIES = 100_000;

    /** The time at which the primary's log ended at an index. */
    private record CatchUpPoint(long index, long nanos) {}

    private final NetThreads mThreads;
    private final DatabaseCopy mCopy;
    private final CurrentBehaviour mBehaviour;
    private final RequestIds mRequestIds = new RequestIds();
    private final ArrayDeque<CommittedEntry> mPendingEntries = new ArrayDeque<>();
    private final ArrayDeque<CatchUpPoint> mCatchUpPoints = new ArrayDeque<>();
    private volatile Predicate<ReplicationEvent> mEventSink = event -> false;
    private Optional<String> mSource = Optional.empty();
    private Optional<HttpClientConnection> mConnection = Optional.empty();
    private long mTerm;
    private long mGeneration;
    private boolean mRequestInFlight;
    private long mNextPullNanos = System.nanoTime();

    ReplicationDuty(NetThreads threads, DatabaseCopy copy, CurrentBehaviour behaviour) {
        mThreads = threads;
        mCopy = copy;
        mBehaviour = behaviour;
    }

    /** Sets the consumer to which I/O threads pass events; it returns false if it is full. */
    void setEventSink(Predicate<ReplicationEvent> sink) {
        mEventSink = sink;
    }

    @Override
    public void onEvent(ReplicationEvent event) {
        if (event instanceof ReplicationEvent.StateChanged) {
            updateSource();
        } else if (event instanceof ReplicationEvent.Connected connected) {
            if (connected.generation() == mGeneration) {
                mConnection = Optional.of(connected.connection());
                sendRequest(connected.connection());
            } else {
                connected.connection().close();
            }
        } else if (event instanceof ReplicationEvent.ResponseReceived received) {
            if (received.generation() == mGeneration) {
                mRequestInFlight = false;
                receive(received, System.nanoTime());
            }
        } else if (event instanceof ReplicationEvent.PullFailed failed
                && failed.generation() == mGeneration) {
            scheduleRetry(System.nanoTime());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mSource.isEmpty() || mBehaviour.get().replicationPaused()) {
            return nowNanos + IDLE_NANOS;
        }
        applyDueEntries(nowNanos);
        if (!mRequestInFlight
                && mPendingEntries.size() < MAX_PENDING_ENTRIES
                && nowNanos - mNextPullNanos >= 0) {
            pull();
        }
        long applyDelayNanos =
                mPendingEntries.isEmpty()
                        ? IDLE_NANOS
                        : dueNanos(mPendingEntries.peek()) - nowNanos;
        long pullDelayNanos = mRequestInFlight ? IDLE_NANOS : mNextPullNanos - nowNanos;
        return nowNanos + Math.max(0, Math.min(applyDelayNanos, pullDelayNanos));
    }

    private void updateSource() {
        CopyState state = mCopy.state();
        if (state.source().equals(mSource) && state.term() == mTerm) {
            return;
        }
        disconnect();
        mTerm = state.term();
        mSource = state.source();
        mPendingEntries.clear();
        mCatchUpPoints.clear();
        mNextPullNanos = System.nanoTime();
    }

    private void applyDueEntries(long nowNanos) {
        while (!mPendingEntries.isEmpty() && dueNanos(mPendingEntries.peek()) - nowNanos <= 0) {
            if (!mCopy.apply(mTerm, mSource.orElseThrow(), mPendingEntries.peek())) {
                mPendingEntries.clear();
                return;
            }
            mPendingEntries.poll();
        }
        long index = mCopy.position().index();
        Optional<Long> caughtUpNanos = Optional.empty();
        while (!mCatchUpPoints.isEmpty() && mCatchUpPoints.peek().index() <= index) {
            caughtUpNanos = Optional.of(mCatchUpPoints.poll().nanos());
        }
        if (caughtUpNanos.isPresent()) {
            mCopy.confirmLog(mTerm, mSource.orElseThrow(), caughtUpNanos);
        }
    }

    private long dueNanos(CommittedEntry entry) {
        return entry.commitNanos() + TimeUnit.MILLISECONDS.toNanos(mBehaviour.get().lagMillis());
    }

    private void pull() {
        mRequestInFlight = true;
        if (mConnection.filter(HttpClientConnection::isOpen).isPresent()) {
            sendRequest(mConnection.get());
            return;
        }
        long generation = ++mGeneration;
        HttpClientConnection.connect(
                        mThreads, Addresses.parse(mSource.orElseThrow()), REQUEST_TIMEOUT)
                .whenComplete(
                        (connection, error) -> {
                            boolean accepted =
                                    mEventSink.test(
                                            error == null
                                                    ? new ReplicationEvent.Connected(
                                                            generation, connection)
                                                    : new ReplicationEvent.PullFailed(generation));
                            if (!accepted && connection != null) {
                                connection.close();
                            }
                        });
    }

    private void sendRequest(HttpClientConnection connection) {
        LogPosition last =
                mPendingEntries.isEmpty()
                        ? mCopy.position()
                        : mPendingEntries.peekLast().position();
        RequestId request = mRequestIds.next();
        String path =
                "/v1/replication?database="
                        + mCopy.name()
                        + "&term="
                        + mTerm
                        + "&afterTerm="
                        + last.term()
                        + "&afterIndex="
                        + last.index()
                        + "&wait="
                        + LONG_POLL_MILLIS
                        + "&request="
                        + request.value();
        long generation = mGeneration;
        connection
                .send(HttpRequest.of("GET", path), REQUEST_TIMEOUT)
                .whenComplete(
                        (response, error) ->
                                mEventSink.test(
                                        error == null
                                                ? new ReplicationEvent.ResponseReceived(
                                                        generation, request, response)
                                                : new ReplicationEvent.PullFailed(generation)));
    }

    /** Handles an answer; one that cannot be read or belongs to another request is not used. */
    private void receive(ReplicationEvent.ResponseReceived received, long nowNanos) {
        try {
            JsonNode body = Json.read(received.response().body());
            EndpointJson.requireAnswer(received.request(), body);
            handleResponse(received.response().status(), body, nowNanos);
        } catch (CrocusturnException e) {
            LOG.warn("standin: {} does not use an answer: {}", mCopy.name(), e.getMessage());
            scheduleRetry(nowNanos);
        }
    }

    private void handleResponse(int status, JsonNode body, long nowNanos) {
        if (status != OK || mSource.isEmpty()) {
            mNextPullNanos = nowNanos + RETRY_DELAY_NANOS;
            return;
        }
        mNextPullNanos = nowNanos;
        if (!JsonFields.bool(body, "matches")) {
            mPendingEntries.clear();
            mCatchUpPoints.clear();
            long index = JsonFields.integer(body, "lastIndex", 0);
            LOG.info("standin: {} truncates its log after index {}", mCopy.name(), index);
            mCopy.truncate(mTerm, mSource.get(), index);
            return;
        }
        List<CommittedEntry> entries =
                JsonFields.list(body, "entries", (node, name) -> LogJson.entry(node, nowNanos));
        mPendingEntries.addAll(entries);
        if (JsonFields.bool(body, "complete")) {
            mCatchUpPoints.add(
                    new CatchUpPoint(JsonFields.integer(body, "lastIndex", 0), nowNanos));
        }
        mCopy.confirmLog(mTerm, mSource.get(), Optional.empty());
    }

    private void scheduleRetry(long nowNanos) {
        disconnect();
        mNextPullNanos = nowNanos + RETRY_DELAY_NANOS;
    }

    private void disconnect() {
        mConnection.ifPresent(HttpClientConnection::close);
        mConnection = Optional.empty();
        mGeneration++;
        mRequestInFlight = false;
    }
}
