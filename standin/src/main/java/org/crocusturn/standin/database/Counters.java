package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.LongAdder;
import org.crocusturn.daemon.endpoints.EndpointJson;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.Json;

/** Counts what a stand-in saw, for tests; safe for any thread and never cleared. */
public final class Counters {
    /** Identifies a statement with its parameters. */
    private record Ran(String database, LoggedStatement statement) {}

    /** Identifies a kind of refusal. */
    private record Refused(String database, String code) {}

    private final Map<Ran, LongAdder> mRan = new ConcurrentHashMap<>();
    private final Map<Refused, LongAdder> mRefused = new ConcurrentHashMap<>();
    private final Map<String, Integer> mMostStatements = new ConcurrentHashMap<>();
    private final Map<String, Integer> mMostConnections = new ConcurrentHashMap<>();
    private final Set<String> mHeaders = new ConcurrentSkipListSet<>();
    private final Set<String> mFields = new ConcurrentSkipListSet<>();

    Counters() {}

    void ran(String database, LoggedStatement statement) {
        mRan.computeIfAbsent(new Ran(database, statement), key -> new LongAdder()).increment();
    }

    void refused(String database, String code) {
        mRefused.computeIfAbsent(new Refused(database, code), key -> new LongAdder()).increment();
    }

    void statements(String database, int now) {
        mMostStatements.merge(database, now, Math::max);
    }

    void connections(String database, int now) {
        mMostConnections.merge(database, now, Math::max);
    }

    void received(HttpRequest request, JsonNode body) {
        mHeaders.addAll(request.headers().keySet());
        body.fieldNames().forEachRemaining(mFields::add);
    }

    /** Returns how often a statement ran with any parameters. */
    public long ran(String sql) {
        return mRan.entrySet().stream()
                .filter(e -> e.getKey().statement().sql().equals(sql))
                .mapToLong(e -> e.getValue().sum())
                .sum();
    }

    /** Returns how often a database refused something with a code. */
    public long refusals(String database, String code) {
        LongAdder count = mRefused.get(new Refused(database, code));
        return count == null ? 0 : count.sum();
    }

    /** Returns the greatest number of statements that a database ran at once. */
    public int mostStatements(String database) {
        return mMostStatements.getOrDefault(database, 0);
    }

    /** Returns the greatest number of sessions that a database had at once. */
    public int mostConnections(String database) {
        return mMostConnections.getOrDefault(database, 0);
    }

    /** Returns every header name that was received, in lower case. */
    public Set<String> headerNames() {
        return Set.copyOf(mHeaders);
    }

    /** Returns every name of a body's field that was received. */
    public Set<String> fieldNames() {
        return Set.copyOf(mFields);
    }

    /** Returns all counters. */
    ObjectNode toJson() {
        ObjectNode node = Json.object();
        ArrayNode statements = node.putArray("statements");
        mRan.forEach(
                (key, count) ->
                        statements
                                .addObject()
                                .put("database", key.database())
                                .put("sql", key.statement().sql())
                                .put("count", count.sum())
                                .set(
                                        "parameters",
                                        EndpointJson.values(key.statement().parameters())));
        ArrayNode refused = node.putArray("refused");
        mRefused.forEach(
                (key, count) ->
                        refused.addObject()
                                .put("database", key.database())
                                .put("code", key.code())
                                .put("count", count.sum()));
        mMostStatements.forEach(node.putObject("mostStatements")::put);
        mMostConnections.forEach(node.putObject("mostConnections")::put);
        ArrayNode headers = node.putArray("headerNames");
        mHeaders.forEach(headers::add);
        ArrayNode fields = node.putArray("fieldNames");
        mFields.forEach(fields::add);
        return node;
    }
}
