package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

/**
 * Handles the requests of the status port.
 *
 * <p>All state except the flag of a pending change is confined to the thread of the duty.
 */
final class StatusDuty implements DutyHandler<StatusEvent> {
    private static final Logger LOG = LogManager.getLogger(StatusDuty.class);

    /** Upper bound of the requested wait, so that no exchange stays open indefinitely. */
    private static final long MAX_WAIT_MILLIS = 10_000;

    /** Limits the size of an answer while a replica catches up. */
    private static final int MAX_ENTRIES_PER_RESPONSE = 500;

    /**
     * A pending long poll.
     *
     * @param exchange exchange to answer
     * @param createResponse returns the answer, or empty to keep waiting; its argument is true once
     *     the deadline has passed
     * @param deadlineNanos monotonic time at which the wait ends
     */
    private record LongPoll(
            HttpExchange exchange,
            Function<Boolean, Optional<JsonResponse>> createResponse,
            long deadlineNanos) {}

    private final Map<String, ServedDatabase> mDatabases;
    private final CurrentBehaviour mBehaviour;
    private final Counters mCounters;
    private final AtomicBoolean mChangePending = new AtomicBoolean();
    private List<LongPoll> mLongPolls = List.of();
    private long mVersion = 1;

    StatusDuty(
            Map<String, ServedDatabase> databases, CurrentBehaviour behaviour, Counters counters) {
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
            try {
                handleRequest(received.exchange(), received.exchange().request());
            } catch (RuntimeException e) {
                received.exchange()
                        .respond(JsonResponse.of("", LogPosition.ZERO, e).toHttpResponse());
            }
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

    private void handleRequest(HttpExchange exchange, HttpRequest request) {
        String route = request.method() + " " + request.pathWithoutQuery();
        boolean testRoute = route.equals("POST /v1/faults") || route.equals("GET /v1/counters");
        if (!testRoute && mBehaviour.get().statusSilent()) {
            return;
        }
        Query query = new Query(new QueryStringDecoder(request.path()).parameters());
        switch (route) {
            case "GET /v1/status" -> {
                long since = query.number("since");
                addLongPoll(exchange, query, timedOut -> statusResponse(timedOut, since));
            }
            case "GET /v1/replication" -> {
                DatabaseCopy copy = requireDatabase(query.text("database")).copy();
                long term = query.number("term");
                LogPosition afterPosition =
                        LogPosition.of(query.number("afterTerm"), query.number("afterIndex"));
                addLongPoll(
                        exchange,
                        query,
                        timedOut -> replicationResponse(timedOut, copy, term, afterPosition));
            }
            case "GET /v1/counters" -> respond(exchange, JsonResponse.ok(mCounters.toJson()));
            case "POST /v1/faults" -> {
                mBehaviour.update(Json.read(request.body()));
                mDatabases.values().forEach(StatusDuty::notifyReplication);
                respond(exchange, JsonResponse.ok(Json.object()));
            }
            default -> handleCommand(exchange, route, readBody(request));
        }
    }

    private void handleCommand(HttpExchange exchange, String route, JsonNode body) {
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
        respond(exchange, JsonResponse.ok(EndpointJson.status(copy.status(System.nanoTime()))));
    }

    private JsonNode readBody(HttpRequest request) {
        JsonNode body = Json.read(request.body());
        mCounters.recordRequest(request, body);
        return body;
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
            HttpExchange exchange,
            Query query,
            Function<Boolean, Optional<JsonResponse>> createResponse) {
        long waitMillis = Math.min(query.number("wait"), MAX_WAIT_MILLIS);
        List<LongPoll> polls = new ArrayList<>(mLongPolls);
        polls.add(
                new LongPoll(
                        exchange,
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
            response.ifPresent(r -> respond(poll.exchange(), r));
            return response.isPresent();
        } catch (RuntimeException e) {
            poll.exchange().respond(JsonResponse.of("", LogPosition.ZERO, e).toHttpResponse());
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

    private static void respond(HttpExchange exchange, JsonResponse response) {
        exchange.respond(response.toHttpResponse());
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
            return parameters.getOrDefault(name, List.of()).stream()
                    .findFirst()
                    .orElseThrow(
                            () -> JsonFields.malformed("parameter \"" + name + "\" is missing"));
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
