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
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.daemon.endpoints.JsonFields;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Pulls the entries of one copy from its primary and applies them when they are old enough.
 *
 * <p>All state belongs to the thread of the duty.
 */
final class ReplicationDuty implements DutyHandler<ReplicationEvent> {
    private static final Logger LOG = LogManager.getLogger(ReplicationDuty.class);

    private static final int OK = 200;

    /** A primary without news answers after this time, which bounds the known age of the data. */
    private static final long WAIT_MILLIS = 50;

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_NANOS = 50_000_000;
    private static final long IDLE_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Entries that may wait for their time; further ones stay with the primary. */
    private static final int MAX_WAITING = 100_000;

    /** Is the time at which the copy is complete once it has applied an index. */
    private record Confirmation(long index, long nanos) {}

    private final NetThreads mThreads;
    private final DatabaseCopy mCopy;
    private final BehaviourSwitch mBehaviour;
    private final ArrayDeque<CommittedEntry> mWaiting = new ArrayDeque<>();
    private final ArrayDeque<Confirmation> mConfirmations = new ArrayDeque<>();
    private volatile Predicate<ReplicationEvent> mEvents = event -> false;
    private Optional<String> mSource = Optional.empty();
    private Optional<HttpClientConnection> mConnection = Optional.empty();
    private long mTerm;
    private long mGeneration;
    private boolean mPulling;
    private long mNextNanos = System.nanoTime();

    ReplicationDuty(NetThreads threads, DatabaseCopy copy, BehaviourSwitch behaviour) {
        mThreads = threads;
        mCopy = copy;
        mBehaviour = behaviour;
    }

    /** Sets where I/O threads hand over their events. */
    void setEvents(Predicate<ReplicationEvent> events) {
        mEvents = events;
    }

    @Override
    public void onEvent(ReplicationEvent event) {
        if (event instanceof ReplicationEvent.Changed) {
            follow();
        } else if (event instanceof ReplicationEvent.Connected connected) {
            if (connected.generation() == mGeneration) {
                mConnection = Optional.of(connected.connection());
                send(connected.connection());
            } else {
                connected.connection().close();
            }
        } else if (event instanceof ReplicationEvent.Pulled pulled) {
            if (pulled.generation() == mGeneration) {
                mPulling = false;
                pulled(pulled.answer(), System.nanoTime());
            }
        } else if (event instanceof ReplicationEvent.Failed failed
                && failed.generation() == mGeneration) {
            fail(System.nanoTime());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        if (mSource.isEmpty() || mBehaviour.get().replicationPaused()) {
            return nowNanos + IDLE_NANOS;
        }
        applyDue(nowNanos);
        if (!mPulling && mWaiting.size() < MAX_WAITING && nowNanos - mNextNanos >= 0) {
            pull();
        }
        long dueNanos = mWaiting.isEmpty() ? IDLE_NANOS : due(mWaiting.peek()) - nowNanos;
        long pullNanos = mPulling ? IDLE_NANOS : mNextNanos - nowNanos;
        return nowNanos + Math.max(0, Math.min(dueNanos, pullNanos));
    }

    private void follow() {
        CopyState state = mCopy.state();
        if (state.source().equals(mSource) && state.term() == mTerm) {
            return;
        }
        disconnect();
        mTerm = state.term();
        mSource = state.source();
        mWaiting.clear();
        mConfirmations.clear();
        mNextNanos = System.nanoTime();
    }

    private void applyDue(long nowNanos) {
        while (!mWaiting.isEmpty() && due(mWaiting.peek()) - nowNanos <= 0) {
            if (!mCopy.apply(mTerm, mSource.orElseThrow(), mWaiting.peek())) {
                mWaiting.clear();
                return;
            }
            mWaiting.poll();
        }
        long index = mCopy.position().index();
        Optional<Long> caughtUp = Optional.empty();
        while (!mConfirmations.isEmpty() && mConfirmations.peek().index() <= index) {
            caughtUp = Optional.of(mConfirmations.poll().nanos());
        }
        if (caughtUp.isPresent()) {
            mCopy.confirm(mTerm, mSource.orElseThrow(), caughtUp);
        }
    }

    private long due(CommittedEntry entry) {
        return entry.commitNanos() + TimeUnit.MILLISECONDS.toNanos(mBehaviour.get().lagMillis());
    }

    private void pull() {
        mPulling = true;
        if (mConnection.filter(HttpClientConnection::isOpen).isPresent()) {
            send(mConnection.get());
            return;
        }
        long generation = ++mGeneration;
        HttpClientConnection.connect(mThreads, Addresses.parse(mSource.orElseThrow()), TIMEOUT)
                .whenComplete(
                        (connection, error) -> {
                            boolean taken =
                                    mEvents.test(
                                            error == null
                                                    ? new ReplicationEvent.Connected(
                                                            generation, connection)
                                                    : new ReplicationEvent.Failed(generation));
                            if (!taken && connection != null) {
                                connection.close();
                            }
                        });
    }

    private void send(HttpClientConnection connection) {
        LogPosition last = mWaiting.isEmpty() ? mCopy.position() : mWaiting.peekLast().position();
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
                        + WAIT_MILLIS;
        long generation = mGeneration;
        connection
                .send(HttpRequest.of("GET", path), TIMEOUT)
                .whenComplete(
                        (answer, error) ->
                                mEvents.test(
                                        error == null
                                                ? new ReplicationEvent.Pulled(generation, answer)
                                                : new ReplicationEvent.Failed(generation)));
    }

    private void pulled(HttpResponse answer, long nowNanos) {
        if (answer.status() != OK || mSource.isEmpty()) {
            mNextNanos = nowNanos + RETRY_NANOS;
            return;
        }
        JsonNode body = Json.read(answer.body());
        mNextNanos = nowNanos;
        if (!JsonFields.bool(body, "matches")) {
            mWaiting.clear();
            mConfirmations.clear();
            long index = JsonFields.integer(body, "lastIndex", 0);
            LOG.info("standin: {} drops its log after index {}", mCopy.name(), index);
            mCopy.truncate(mTerm, mSource.get(), index);
            return;
        }
        List<CommittedEntry> entries =
                JsonFields.list(body, "entries", (node, name) -> LogJson.entry(node, nowNanos));
        mWaiting.addAll(entries);
        if (JsonFields.bool(body, "complete")) {
            mConfirmations.add(
                    new Confirmation(JsonFields.integer(body, "lastIndex", 0), nowNanos));
        }
        mCopy.confirm(mTerm, mSource.get(), Optional.empty());
    }

    private void fail(long nowNanos) {
        disconnect();
        mNextNanos = nowNanos + RETRY_NANOS;
    }

    private void disconnect() {
        mConnection.ifPresent(HttpClientConnection::close);
        mConnection = Optional.empty();
        mGeneration++;
        mPulling = false;
    }
}
