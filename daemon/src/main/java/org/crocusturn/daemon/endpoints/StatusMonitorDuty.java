package org.crocusturn.daemon.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpAnswer;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/** Polls the monitored endpoints; all state is confined to the thread of the duty. */
final class StatusMonitorDuty implements DutyHandler<StatusEvent> {
    private static final Logger LOG = LogManager.getLogger(StatusMonitorDuty.class);

    private static final int OK = 200;

    /**
     * Long polls per silence limit; an idle endpoint answers often enough not to count as silent.
     */
    private static final int POLLS_WITHIN_SILENCE = 3;

    /** Interval between attempts to connect to an endpoint that refuses connections. */
    private static final long RETRY_NANOS = 100_000_000;

    /** Silence limits after which the completion event of an attempt is presumed lost. */
    private static final int LOST_AFTER = 4;

    private final NetThreads mThreads;
    private final Duration mSilentAfter;
    private final long mSilentNanos;
    private final long mMinIntervalNanos;
    private final Consumer<EndpointObservation> mListener;
    private final Map<EndpointId, WatchedEndpoint> mWatched = new HashMap<>();
    private volatile Predicate<StatusEvent> mEvents = event -> false;
    private long mGenerations;

    StatusMonitorDuty(
            NetThreads threads,
            Duration silentAfter,
            Duration minInterval,
            Consumer<EndpointObservation> listener) {
        mThreads = threads;
        mSilentAfter = silentAfter;
        mSilentNanos = silentAfter.toNanos();
        mMinIntervalNanos = minInterval.toNanos();
        mListener = listener;
    }

    /** Sets the consumer of events from I/O threads. */
    void setEvents(Predicate<StatusEvent> events) {
        mEvents = events;
    }

    /** Closes all connections; must be called after the duty has stopped. */
    void closeAll() {
        mWatched.values().forEach(StatusMonitorDuty::disconnect);
        mWatched.clear();
    }

    @Override
    public void onEvent(StatusEvent event) {
        long nowNanos = SteadyClock.nanoTime();
        if (event instanceof StatusEvent.Watch watch) {
            watch(watch, nowNanos);
        } else if (event instanceof StatusEvent.Unwatch unwatch) {
            Optional.ofNullable(mWatched.remove(unwatch.endpoint()))
                    .ifPresent(StatusMonitorDuty::disconnect);
        } else if (event instanceof StatusEvent.Connected connected) {
            current(connected.endpoint(), connected.generation())
                    .ifPresentOrElse(
                            w -> poll(put(w.withConnection(connected.connection()))),
                            connected.connection()::close);
        } else if (event instanceof StatusEvent.Answered answered) {
            current(answered.endpoint(), answered.generation())
                    .ifPresent(w -> answered(w, answered.answer(), nowNanos));
        } else if (event instanceof StatusEvent.Failed failed) {
            current(failed.endpoint(), failed.generation()).ifPresent(w -> failed(w, nowNanos));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        List.copyOf(mWatched.values()).forEach(w -> advance(w, nowNanos));
        return mWatched.values().stream()
                .mapToLong(w -> w.attempting() ? w.silentNanos() : w.nextNanos())
                .map(nanos -> nanos - nowNanos)
                .min()
                .stream()
                .map(wait -> nowNanos + Math.max(0, Math.min(wait, mSilentNanos)))
                .findFirst()
                .orElse(nowNanos + mSilentNanos);
    }

    private void watch(StatusEvent.Watch event, long nowNanos) {
        WatchedEndpoint known = mWatched.get(event.endpoint());
        if (known != null && known.address().equals(event.address())) {
            return;
        }
        if (known != null) {
            disconnect(known);
        }
        put(
                WatchedEndpoint.create(
                        event.endpoint(),
                        event.address(),
                        ++mGenerations,
                        nowNanos,
                        nowNanos + mSilentNanos));
    }

    private void advance(WatchedEndpoint watched, long nowNanos) {
        WatchedEndpoint next = watched;
        if (nowNanos - next.silentNanos() >= 0) {
            next = put(next.withSilentNanos(nowNanos + mSilentNanos));
            mListener.accept(new EndpointObservation.Silent(next.endpoint()));
        }
        boolean lost =
                next.attempting() && nowNanos - next.attemptNanos() > LOST_AFTER * mSilentNanos;
        if (lost) {
            disconnect(next);
            next = put(next.withFailure(next.failures(), nowNanos));
        }
        if (!next.attempting() && nowNanos - next.nextNanos() >= 0) {
            attempt(put(next.withAttempt(++mGenerations, nowNanos)));
        }
    }

    private void attempt(WatchedEndpoint watched) {
        if (watched.connection().isPresent()) {
            poll(watched);
            return;
        }
        EndpointId endpoint = watched.endpoint();
        long generation = watched.generation();
        HttpClientConnection.connect(mThreads, Addresses.parse(watched.address()), mSilentAfter)
                .whenComplete(
                        (connection, error) -> {
                            boolean taken =
                                    hand(
                                            error == null
                                                    ? new StatusEvent.Connected(
                                                            endpoint, generation, connection)
                                                    : new StatusEvent.Failed(endpoint, generation));
                            if (!taken && connection != null) {
                                connection.close();
                            }
                        });
    }

    private void poll(WatchedEndpoint watched) {
        long waitMillis = mSilentAfter.toMillis() / POLLS_WITHIN_SILENCE;
        String path = "/v1/status?since=" + watched.version() + "&wait=" + waitMillis;
        EndpointId endpoint = watched.endpoint();
        long generation = watched.generation();
        watched.connection()
                .orElseThrow()
                .send(HttpRequest.of("GET", path), mSilentAfter)
                .whenComplete(
                        (answer, error) ->
                                hand(
                                        error == null
                                                ? new StatusEvent.Answered(
                                                        endpoint, generation, answer)
                                                : new StatusEvent.Failed(endpoint, generation)));
    }

    private boolean hand(StatusEvent event) {
        boolean taken = mEvents.test(event);
        if (!taken) {
            LOG.warn("endpoints: the ring of the status monitor is full, an event was dropped");
        }
        return taken;
    }

    private void answered(WatchedEndpoint watched, HttpAnswer answer, long nowNanos) {
        try {
            if (answer.status() != OK) {
                throw Fields.malformed("status " + answer.status());
            }
            JsonNode body = Json.read(answer.body());
            List<CopyStatus> copies =
                    Fields.list(body, "copies", (node, name) -> EndpointJson.status(node));
            long version = Fields.number(body, "version", 0);
            long nextNanos = Math.max(nowNanos, watched.attemptNanos() + mMinIntervalNanos);
            put(watched.withAnswer(version, nextNanos, nowNanos + mSilentNanos));
            mListener.accept(new EndpointObservation.Seen(watched.endpoint(), copies));
        } catch (CrocusturnException e) {
            LOG.warn(
                    "endpoints: status of {} is malformed: {}", watched.endpoint(), e.getMessage());
            disconnect(watched);
            put(watched.withFailure(0, nowNanos + RETRY_NANOS));
        }
    }

    private void failed(WatchedEndpoint watched, long nowNanos) {
        disconnect(watched);
        boolean timedOut = nowNanos - watched.attemptNanos() >= mSilentNanos;
        if (timedOut) {
            put(watched.withFailure(0, nowNanos));
        } else if (watched.failures() == 0) {
            put(watched.withFailure(1, nowNanos));
        } else {
            put(watched.withFailure(watched.failures() + 1, nowNanos + RETRY_NANOS));
            mListener.accept(new EndpointObservation.ConnectionRefused(watched.endpoint()));
        }
    }

    private Optional<WatchedEndpoint> current(EndpointId endpoint, long generation) {
        return Optional.ofNullable(mWatched.get(endpoint))
                .filter(w -> w.generation() == generation && w.attempting());
    }

    private WatchedEndpoint put(WatchedEndpoint watched) {
        mWatched.put(watched.endpoint(), watched);
        return watched;
    }

    private static void disconnect(WatchedEndpoint watched) {
        watched.connection().ifPresent(HttpClientConnection::close);
    }
}
