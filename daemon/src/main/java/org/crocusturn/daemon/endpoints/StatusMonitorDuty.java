package org.crocusturn.daemon.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.core.endpoints.RequestId;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.core.ring.ThreadFailures;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/** Polls the monitored endpoints; all state is confined to the thread of the duty. */
final class StatusMonitorDuty implements DutyHandler<StatusEvent> {
    private static final Logger LOG = LogManager.getLogger(StatusMonitorDuty.class);

    private static final int OK = 200;

    /**
     * Long polls per silence limit; an idle endpoint answers often enough not to count as silent.
     */
    private static final int POLLS_PER_SILENCE_LIMIT = 3;

    /** Interval between attempts to connect to an endpoint that refuses connections. */
    private static final long RETRY_INTERVAL_NANOS = 100_000_000;

    /** Silence limits after which the completion event of an attempt is presumed lost. */
    private static final int LOST_EVENT_SILENCE_LIMITS = 4;

    private final NetThreads mThreads;
    private final Duration mSilenceLimit;
    private final long mSilenceLimitNanos;
    private final long mMinIntervalNanos;
    private final Consumer<EndpointObservation> mListener;
    private final RequestIds mRequestIds = new RequestIds();
    private final Map<EndpointId, MonitoredEndpoint> mEndpoints = new HashMap<>();
    private volatile Predicate<StatusEvent> mEventConsumer = event -> false;
    private long mLastGeneration;

    StatusMonitorDuty(
            NetThreads threads,
            Duration silentAfter,
            Duration minInterval,
            Consumer<EndpointObservation> listener) {
        mThreads = threads;
        mSilenceLimit = silentAfter;
        mSilenceLimitNanos = silentAfter.toNanos();
        mMinIntervalNanos = minInterval.toNanos();
        mListener = listener;
    }

    /** Sets the consumer of events from I/O threads. */
    void setEvents(Predicate<StatusEvent> events) {
        mEventConsumer = events;
    }

    /** Closes all connections; must be called after the duty has stopped. */
    void closeAll() {
        mEndpoints.values().forEach(StatusMonitorDuty::disconnect);
        mEndpoints.clear();
    }

    @Override
    public void onEvent(StatusEvent event) {
        long nowNanos = SteadyClock.nanoTime();
        if (event instanceof StatusEvent.Watch watch) {
            watch(watch, nowNanos);
        } else if (event instanceof StatusEvent.Unwatch unwatch) {
            Optional.ofNullable(mEndpoints.remove(unwatch.endpoint()))
                    .ifPresent(StatusMonitorDuty::disconnect);
        } else if (event instanceof StatusEvent.Connected connected) {
            findCurrent(connected.endpoint(), connected.generation())
                    .ifPresentOrElse(
                            monitored ->
                                    poll(store(monitored.withConnection(connected.connection()))),
                            connected.connection()::close);
        } else if (event instanceof StatusEvent.PollAnswered answered) {
            findCurrent(answered.endpoint(), answered.generation())
                    .ifPresent(monitored -> onResponse(monitored, answered, nowNanos));
        } else if (event instanceof StatusEvent.Failed failed) {
            findCurrent(failed.endpoint(), failed.generation())
                    .ifPresent(monitored -> onFailure(monitored, nowNanos));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        List.copyOf(mEndpoints.values()).forEach(monitored -> checkTimers(monitored, nowNanos));
        return mEndpoints.values().stream()
                .mapToLong(
                        monitored ->
                                monitored.attempting()
                                        ? monitored.silenceDeadlineNanos()
                                        : monitored.nextAttemptNanos())
                .map(nanos -> nanos - nowNanos)
                .min()
                .stream()
                .map(wait -> nowNanos + Math.max(0, Math.min(wait, mSilenceLimitNanos)))
                .findFirst()
                .orElse(nowNanos + mSilenceLimitNanos);
    }

    private void watch(StatusEvent.Watch event, long nowNanos) {
        MonitoredEndpoint known = mEndpoints.get(event.endpoint());
        if (known != null && known.address().equals(event.address())) {
            return;
        }
        if (known != null) {
            disconnect(known);
        }
        store(
                MonitoredEndpoint.create(
                        event.endpoint(),
                        event.address(),
                        ++mLastGeneration,
                        nowNanos,
                        nowNanos + mSilenceLimitNanos));
    }

    private void checkTimers(MonitoredEndpoint state, long nowNanos) {
        MonitoredEndpoint next = state;
        if (nowNanos - next.silenceDeadlineNanos() >= 0) {
            next = store(next.withSilenceDeadline(nowNanos + mSilenceLimitNanos));
            mListener.accept(new EndpointObservation.TimedOut(next.endpoint()));
        }
        boolean lost =
                next.attempting()
                        && nowNanos - next.attemptStartNanos()
                                > LOST_EVENT_SILENCE_LIMITS * mSilenceLimitNanos;
        if (lost) {
            disconnect(next);
            next = store(next.withFailure(next.failures(), nowNanos));
        }
        if (!next.attempting() && nowNanos - next.nextAttemptNanos() >= 0) {
            startAttempt(store(next.withAttempt(++mLastGeneration, nowNanos)));
        }
    }

    private void startAttempt(MonitoredEndpoint state) {
        if (state.connection().isPresent()) {
            poll(state);
            return;
        }
        EndpointId endpoint = state.endpoint();
        long generation = state.generation();
        connect(state.address())
                .whenComplete(
                        ThreadFailures.guardCompletion(
                                (connection, error) -> {
                                    boolean accepted =
                                            offer(
                                                    error == null
                                                            ? new StatusEvent.Connected(
                                                                    endpoint,
                                                                    generation,
                                                                    connection)
                                                            : new StatusEvent.Failed(
                                                                    endpoint, generation));
                                    if (!accepted && connection != null) {
                                        connection.close();
                                    }
                                }));
    }

    /** Connects to an address, which comes from the replicated state and may be invalid. */
    private CompletableFuture<HttpClientConnection> connect(String address) {
        try {
            return HttpClientConnection.connect(mThreads, Addresses.parse(address), mSilenceLimit);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void poll(MonitoredEndpoint state) {
        long waitMillis = mSilenceLimit.toMillis() / POLLS_PER_SILENCE_LIMIT;
        RequestId request = mRequestIds.next();
        String path =
                "/v1/status?since="
                        + state.version()
                        + "&wait="
                        + waitMillis
                        + "&request="
                        + request.value();
        EndpointId endpoint = state.endpoint();
        long generation = state.generation();
        state.connection()
                .orElseThrow()
                .send(HttpRequest.of("GET", path), mSilenceLimit)
                .whenComplete(
                        ThreadFailures.guardCompletion(
                                (response, error) ->
                                        offer(
                                                error == null
                                                        ? new StatusEvent.PollAnswered(
                                                                endpoint,
                                                                generation,
                                                                request,
                                                                response)
                                                        : new StatusEvent.Failed(
                                                                endpoint, generation))));
    }

    private boolean offer(StatusEvent event) {
        boolean accepted = mEventConsumer.test(event);
        if (!accepted) {
            LOG.warn("endpoints: the ring of the status monitor is full, an event was dropped");
        }
        return accepted;
    }

    private void onResponse(
            MonitoredEndpoint state, StatusEvent.PollAnswered answered, long nowNanos) {
        StatusResponse status;
        try {
            status = decode(answered.request(), answered.response());
        } catch (RuntimeException | StackOverflowError e) {
            LOG.warn("endpoints: status of {} is not used: {}", state.endpoint(), e.getMessage());
            disconnect(state);
            store(state.withFailure(0, nowNanos + RETRY_INTERVAL_NANOS));
            return;
        }
        long nextNanos = Math.max(nowNanos, state.attemptStartNanos() + mMinIntervalNanos);
        store(state.withResponse(status.version(), nextNanos, nowNanos + mSilenceLimitNanos));
        mListener.accept(new EndpointObservation.StatusReceived(state.endpoint(), status.copies()));
    }

    private static StatusResponse decode(RequestId request, HttpResponse response) {
        if (response.status() != OK) {
            throw JsonFields.malformed("status " + response.status());
        }
        JsonNode body = Json.read(response.body());
        EndpointJson.requireAnswer(request, body);
        List<CopyStatus> copies =
                JsonFields.list(body, "copies", (node, name) -> EndpointJson.status(node));
        return new StatusResponse(JsonFields.integer(body, "version", 0), copies);
    }

    /** Decoded answer to a poll. */
    private record StatusResponse(long version, List<CopyStatus> copies) {}

    private void onFailure(MonitoredEndpoint state, long nowNanos) {
        disconnect(state);
        boolean timedOut = nowNanos - state.attemptStartNanos() >= mSilenceLimitNanos;
        if (timedOut) {
            store(state.withFailure(0, nowNanos));
        } else if (state.failures() == 0) {
            store(state.withFailure(1, nowNanos));
        } else {
            store(state.withFailure(state.failures() + 1, nowNanos + RETRY_INTERVAL_NANOS));
            mListener.accept(new EndpointObservation.ConnectionRefused(state.endpoint()));
        }
    }

    private Optional<MonitoredEndpoint> findCurrent(EndpointId endpoint, long generation) {
        return Optional.ofNullable(mEndpoints.get(endpoint))
                .filter(
                        monitored ->
                                monitored.generation() == generation && monitored.attempting());
    }

    private MonitoredEndpoint store(MonitoredEndpoint state) {
        mEndpoints.put(state.endpoint(), state);
        return state;
    }

    private static void disconnect(MonitoredEndpoint state) {
        state.connection().ifPresent(HttpClientConnection::close);
    }
}
