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

/** Answers the status port; all state but the mark of a change belongs to the duty's thread. */
final class StatusDuty implements DutyHandler<StatusDutyEvent> {
    private static final Logger LOG = LogManager.getLogger(StatusDuty.class);

    /** A longer wait is cut, so that no exchange stays open for ever. */
    private static final long MAX_WAIT_MILLIS = 10_000;

    /** Most entries of one answer; keeps answers small while a replica catches up. */
    private static final int MAX_ENTRIES = 500;

    /**
     * Is a long poll.
     *
     * @param exchange exchange to answer
     * @param answer returns the answer; its argument tells that the wait is over
     * @param deadlineNanos end of the wait
     */
    private record Poll(
            HttpExchange exchange,
            Function<Boolean, Optional<Answers>> answer,
            long deadlineNanos) {}

    private final Map<String, ServedDatabase> mDatabases;
    private final BehaviourSwitch mBehaviour;
    private final Counters mCounters;
    private final AtomicBoolean mChangeNoted = new AtomicBoolean();
    private List<Poll> mPolls = List.of();
    private long mVersion = 1;

    StatusDuty(
            Map<String, ServedDatabase> databases, BehaviourSwitch behaviour, Counters counters) {
        mDatabases = Map.copyOf(databases);
        mBehaviour = behaviour;
        mCounters = counters;
    }

    /** Returns true for the first of several changes that the duty has not yet seen. */
    boolean noteChange() {
        return mChangeNoted.compareAndSet(false, true);
    }

    /** Takes back the note of a change that could not be handed over. */
    void forgetChange() {
        mChangeNoted.set(false);
    }

    @Override
    public void onEvent(StatusDutyEvent event) {
        if (event instanceof StatusDutyEvent.Asked asked) {
            try {
                asked(asked.exchange(), asked.exchange().request());
            } catch (RuntimeException e) {
                asked.exchange().respond(Answers.of("", LogPosition.ZERO, e).encode());
            }
        } else {
            mChangeNoted.set(false);
            mVersion++;
            answerPolls(System.nanoTime());
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        answerPolls(nowNanos);
        return nowNanos
                + mPolls.stream()
                        .mapToLong(p -> p.deadlineNanos() - nowNanos)
                        .min()
                        .orElse(TimeUnit.HOURS.toNanos(1));
    }

    private void asked(HttpExchange exchange, HttpRequest request) {
        String route = request.method() + " " + request.pathWithoutQuery();
        boolean control = route.equals("POST /v1/faults") || route.equals("GET /v1/counters");
        if (!control && mBehaviour.get().statusSilent()) {
            return;
        }
        Query query = new Query(new QueryStringDecoder(request.path()).parameters());
        switch (route) {
            case "GET /v1/status" -> {
                long since = query.number("since");
                addPoll(exchange, query, waited -> status(waited, since));
            }
            case "GET /v1/replication" -> {
                DatabaseCopy copy = served(query.text("database")).copy();
                long term = query.number("term");
                LogPosition after =
                        LogPosition.of(query.number("afterTerm"), query.number("afterIndex"));
                addPoll(exchange, query, waited -> replication(waited, copy, term, after));
            }
            case "GET /v1/counters" -> respond(exchange, Answers.ok(mCounters.toJson()));
            case "POST /v1/faults" -> {
                mBehaviour.change(Json.read(request.body()));
                mDatabases.values().forEach(StatusDuty::wake);
                respond(exchange, Answers.ok(Json.object()));
            }
            default -> command(exchange, route, body(request));
        }
    }

    private void command(HttpExchange exchange, String route, JsonNode body) {
        ServedDatabase database = served(JsonFields.text(body, "database"));
        DatabaseCopy copy = database.copy();
        long term = JsonFields.integer(body, "term", 1);
        switch (route) {
            case "POST /v1/fence" -> copy.change(s -> s.withFence(term));
            case "POST /v1/promote" -> copy.change(s -> s.withPromotion(term));
            case "POST /v1/follow" -> {
                String primary = JsonFields.text(body, "primary");
                checkAddress(primary);
                copy.change(s -> s.withSource(term, primary));
            }
            default -> throw RefusedException.malformed("not_found", "no such route");
        }
        wake(database);
        LOG.info("standin: {} of {}: {}", route, copy.name(), copy.state());
        respond(exchange, Answers.ok(EndpointJson.status(copy.status(System.nanoTime()))));
    }

    private JsonNode body(HttpRequest request) {
        JsonNode body = Json.read(request.body());
        mCounters.received(request, body);
        return body;
    }

    private Optional<Answers> status(boolean waited, long since) {
        if (since >= mVersion && !waited) {
            return Optional.empty();
        }
        long nowNanos = System.nanoTime();
        ObjectNode body = Json.object().put("version", mVersion);
        ArrayNode copies = body.putArray("copies");
        mDatabases.values().stream()
                .sorted(java.util.Comparator.comparing(d -> d.copy().name()))
                .forEach(d -> copies.add(EndpointJson.status(d.copy().status(nowNanos))));
        return Optional.of(Answers.ok(body));
    }

    private Optional<Answers> replication(
            boolean waited, DatabaseCopy copy, long term, LogPosition after) {
        if (!copy.state().primaryOf(term)) {
            throw RefusedException.conflict(
                    "not_primary", "the copy is not the primary of term " + term);
        }
        Optional<List<CommittedEntry>> entries = copy.entriesAfter(after, MAX_ENTRIES);
        if (entries.isEmpty()) {
            return Optional.of(
                    Answers.ok(
                            Json.object()
                                    .put("matches", false)
                                    .put("lastIndex", copy.lastCommonWith(after).index())));
        }
        if (entries.get().isEmpty() && !waited) {
            return Optional.empty();
        }
        // Only what this answer holds is known to be complete at this time.
        long lastIndex = after.index() + entries.get().size();
        ObjectNode body = Json.object().put("matches", true).put("lastIndex", lastIndex);
        body.put("complete", entries.get().size() < MAX_ENTRIES);
        body.set("entries", LogJson.entries(entries.get(), System.nanoTime()));
        return Optional.of(Answers.ok(body));
    }

    private void addPoll(
            HttpExchange exchange, Query query, Function<Boolean, Optional<Answers>> answer) {
        long waitMillis = Math.min(query.number("wait"), MAX_WAIT_MILLIS);
        List<Poll> polls = new ArrayList<>(mPolls);
        polls.add(
                new Poll(
                        exchange,
                        answer,
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis)));
        mPolls = List.copyOf(polls);
    }

    /** Answers each poll that has news or has waited long enough, and keeps the others. */
    private void answerPolls(long nowNanos) {
        mPolls = mPolls.stream().filter(p -> !answered(p, nowNanos)).toList();
    }

    private boolean answered(Poll poll, long nowNanos) {
        try {
            Optional<Answers> answer = poll.answer().apply(nowNanos - poll.deadlineNanos() >= 0);
            answer.ifPresent(a -> respond(poll.exchange(), a));
            return answer.isPresent();
        } catch (RuntimeException e) {
            poll.exchange().respond(Answers.of("", LogPosition.ZERO, e).encode());
            return true;
        }
    }

    private ServedDatabase served(String name) {
        return Optional.ofNullable(mDatabases.get(name))
                .orElseThrow(
                        () -> RefusedException.malformed("not_found", "there is no such database"));
    }

    private static void respond(HttpExchange exchange, Answers answer) {
        exchange.respond(answer.encode());
    }

    private static void wake(ServedDatabase database) {
        if (!database.replication().offer(new ReplicationEvent.Changed())) {
            throw RefusedException.tooMany("busy", "the replication is overloaded");
        }
    }

    private static void checkAddress(String address) {
        try {
            Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw JsonFields.malformed("field \"primary\": " + e.getMessage());
        }
    }

    /** Reads the parameters of a path. */
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
