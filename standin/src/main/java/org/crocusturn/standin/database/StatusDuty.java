package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.daemon.endpoints.EndpointJson;
import org.crocusturn.daemon.endpoints.JsonFields;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Handles the requests of the status port.
 *
 * <p>All state except the flag of a pending change is confined to the thread of the duty.
 */
final class StatusDuty implements DutyHandler<StatusEvent> {
    private static final Logger LOG = LogManager.getLogger(StatusDuty.class);

    /** Upper bound of the requested wait, so that no exchange stays open indefinitely. */
    private static final long MAX_WAIT_MILLIS = 10_000;

    private static final Optional<Fault> NO_FAULT = Optional.empty();

    /** Routes for tests, which are answered even while the status port is silent. */
    private static final Set<String> TEST_ROUTES = Set.of("POST /v1/faults", "GET /v1/counters");

    /** Limits the size of an answer while a replica catches up. */
    private static final int MAX_ENTRIES_PER_RESPONSE = 500;

    /**
     * A pending long poll.
     *
     * @param answer how to answer
     * @param createResponse returns the answer, or empty to keep waiting; its argument is true once
     *     the deadline has passed
     * @param deadlineNanos monotonic time at which the wait ends
     */
    private record LongPoll(
            Answer answer,
            Function<Boolean, Optional<JsonResponse>> createResponse,
            long deadlineNanos) {}

    /**
     * How to answer a request.
     *
     * @param request id of the request; empty if it has none
     * @param sender sends the answer
     */
    private record Answer(String request, FaultInjectingSender sender) {
        void send(JsonResponse response) {
            sender.send(response.withRequest(request));
        }

        void refuse(RuntimeException error) {
            sender.send(JsonResponse.of(request, LogPosition.ZERO, error));
        }
    }

    private final NetThreads mThreads;
    private final Map<String, ServedDatabase> mDatabases;
    private final CurrentBehaviour mBehaviour;
    private final Counters mCounters;
    private final AtomicBoolean mChangePending = new AtomicBoolean();
    private List<LongPoll> mLongPolls = List.of();
    private long mVersion = 1;

    StatusDuty(
            NetThreads threads,
            Map<String, ServedDatabase> databases,
            CurrentBehaviour behaviour,
            Counters counters) {
        mThreads = threads;
        mDatabases = Map.copyOf(databases);
        mBehaviour = behaviour;
        mCounters = counters;
    }

    /**
     * Marks a change as pending and returns true, or returns false if one is already pending. Can
     * be called from any thread.
     */
    boolean markChangePending() {
        return mChangePending.compareAndSet(false, true);
    }

    /** Clears the flag after the event of the change could not be enqueued. */
    void clearChangePending() {
        mChangePending.set(false);
    }

    @Override
    public void onEvent(StatusEvent event) {
        if (event instanceof StatusEvent.RequestReceived received) {
            handleRequest(received.exchange());
        } else {
            mChangePending.set(false);
            mVersion++;
            respondToLongPolls(System.nanoTime());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        respondToLongPolls(nowNanos);
        return nowNanos
                + mLongPolls.stream()
                        .mapToLong(p -> p.deadlineNanos() - nowNanos)
                        .min()
                        .orElse(TimeUnit.HOURS.toNanos(1));
    }

    private void handleRequest(HttpExchange exchange) {
        HttpRequest request = exchange.request();
        String route = request.method() + " " + request.pathWithoutQuery();
        boolean testRoute = TEST_ROUTES.contains(route);
        if (!testRoute && mBehaviour.get().statusSilent()) {
            return;
        }
        Answer answer = new Answer("", new FaultInjectingSender(exchange, NO_FAULT, mThreads));
        try {
            Query query = new Query(new QueryStringDecoder(request.path()).parameters());
            JsonNode body =
                    request.method().equals("POST") ? Json.read(request.body()) : Json.object();
            String id = query.find("request").orElse(body.path("request").asText());
            String database = query.find("database").orElse(body.path("database").asText());
            Optional<Fault> fault =
                    testRoute
                            ? NO_FAULT
                            : mBehaviour.consumeFaultOfRoute(database, request.pathWithoutQuery());
            if (fault.filter(f -> f.kind() == Fault.Kind.DROP_BEFORE).isPresent()) {
                exchange.connection().close();
                return;
            }
            answer = new Answer(id, new FaultInjectingSender(exchange, fault, mThreads));
            if (id.isEmpty() && !testRoute) {
                throw JsonFields.malformed("\"request\" is missing");
            }
            dispatch(answer, route, request, query, body);
        } catch (RuntimeException e) {
            answer.refuse(e);
        }
    }

    private void dispatch(
            Answer answer, String route, HttpRequest request, Query query, JsonNode body) {
        switch (route) {
            case "GET /v1/status" -> {
                long since = query.number("since");
                addLongPoll(answer, query, timedOut -> statusResponse(timedOut, since));
            }
            case "GET /v1/replication" -> {
                DatabaseCopy copy = requireDatabase(query.text("database")).copy();
                long term = query.number("term");
                LogPosition afterPosition =
                        LogPosition.of(query.number("afterTerm"), query.number("afterIndex"));
                addLongPoll(
                        answer,
                        query,
                        timedOut -> replicationResponse(timedOut, copy, term, afterPosition));
            }
            case "GET /v1/counters" -> answer.send(JsonResponse.ok(mCounters.toJson()));
            case "POST /v1/faults" -> {
                mBehaviour.update(body);
                mDatabases.values().forEach(StatusDuty::notifyReplication);
                answer.send(JsonResponse.ok(Json.object()));
            }
            default -> {
                mCounters.recordRequest(request, body);
                handleCommand(answer, route, body);
            }
        }
    }

    private void handleCommand(Answer answer, String route, JsonNode body) {
        ServedDatabase database = requireDatabase(JsonFields.text(body, "database"));
        DatabaseCopy copy = database.copy();
        long term = JsonFields.integer(body, "term", 1);
        switch (route) {
            case "POST /v1/fence" -> copy.changeState(s -> s.withFence(term));
            case "POST /v1/promote" -> copy.changeState(s -> s.withPromotion(term));
            case "POST /v1/follow" -> {
                String primary = JsonFields.text(body, "primary");
                checkPrimaryAddress(primary);
                copy.changeState(s -> s.withSource(term, primary));
            }
            default -> throw RefusedException.badRequest("not_found", "no such route");
        }
        notifyReplication(database);
        LOG.info("standin: handled {} of {}, new state {}", route, copy.name(), copy.state());
        answer.send(JsonResponse.ok(EndpointJson.status(copy.status(System.nanoTime()))));
    }

    private Optional<JsonResponse> statusResponse(boolean timedOut, long since) {
        if (since >= mVersion && !timedOut) {
            return Optional.empty();
        }
        long nowNanos = System.nanoTime();
        ObjectNode body = Json.object().put("version", mVersion);
        ArrayNode copies = body.putArray("copies");
        mDatabases.values().stream()
                .sorted(java.util.Comparator.comparing(d -> d.copy().name()))
                .forEach(d -> copies.add(EndpointJson.status(d.copy().status(nowNanos))));
        return Optional.of(JsonResponse.ok(body));
    }

    private Optional<JsonResponse> replicationResponse(
            boolean timedOut, DatabaseCopy copy, long term, LogPosition afterPosition) {
        if (!copy.state().isPrimaryOf(term)) {
            throw RefusedException.conflict(
                    "not_primary", "the copy is not the primary of term " + term);
        }
        Optional<List<CommittedEntry>> entries =
                copy.entriesAfter(afterPosition, MAX_ENTRIES_PER_RESPONSE);
        if (entries.isEmpty()) {
            return Optional.of(
                    JsonResponse.ok(
                            Json.object()
                                    .put("matches", false)
                                    .put(
                                            "lastIndex",
                                            copy.lastPositionNotAfter(afterPosition).index())));
        }
        if (entries.get().isEmpty() && !timedOut) {
            return Optional.empty();
        }
        // The log may have grown meanwhile, so lastIndex covers only the entries of this answer.
        long lastIndex = afterPosition.index() + entries.get().size();
        ObjectNode body = Json.object().put("matches", true).put("lastIndex", lastIndex);
        body.put("complete", entries.get().size() < MAX_ENTRIES_PER_RESPONSE);
        body.set("entries", LogJson.entries(entries.get(), System.nanoTime()));
        return Optional.of(JsonResponse.ok(body));
    }

    private void addLongPoll(
            Answer answer, Query query, Function<Boolean, Optional<JsonResponse>> createResponse) {
        long waitMillis = Math.min(query.number("wait"), MAX_WAIT_MILLIS);
        List<LongPoll> polls = new ArrayList<>(mLongPolls);
        polls.add(
                new LongPoll(
                        answer,
                        createResponse,
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis)));
        mLongPolls = List.copyOf(polls);
    }

    /** Answers the polls that have new data or have timed out, and keeps the others. */
    private void respondToLongPolls(long nowNanos) {
        mLongPolls = mLongPolls.stream().filter(p -> !respondIfReady(p, nowNanos)).toList();
    }

    private boolean respondIfReady(LongPoll poll, long nowNanos) {
        try {
            Optional<JsonResponse> response =
                    poll.createResponse().apply(nowNanos - poll.deadlineNanos() >= 0);
            response.ifPresent(poll.answer()::send);
            return response.isPresent();
        } catch (RuntimeException e) {
            poll.answer().refuse(e);
            return true;
        }
    }

    private ServedDatabase requireDatabase(String name) {
        return Optional.ofNullable(mDatabases.get(name))
                .orElseThrow(
                        () ->
                                RefusedException.badRequest(
                                        "not_found", "there is no such database"));
    }

    private static void notifyReplication(ServedDatabase database) {
        if (!database.replication().offer(new ReplicationEvent.StateChanged())) {
            throw RefusedException.tooManyRequests("busy", "the replication queue is full");
        }
    }

    private static void checkPrimaryAddress(String address) {
        try {
            Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw JsonFields.malformed("field \"primary\": " + e.getMessage());
        }
    }

    /** The query parameters of a request. */
    private record Query(Map<String, List<String>> parameters) {
        private String text(String name) {
            return find(name)
                    .orElseThrow(
                            () -> JsonFields.malformed("parameter \"" + name + "\" is missing"));
        }

        private Optional<String> find(String name) {
            return parameters.getOrDefault(name, List.of()).stream().findFirst();
        }

        private long number(String name) {
            try {
                return Long.parseLong(text(name));
            } catch (NumberFormatException e) {
                throw JsonFields.malformed("parameter \"" + name + "\" must be a whole number");
            }
        }
    }
}
