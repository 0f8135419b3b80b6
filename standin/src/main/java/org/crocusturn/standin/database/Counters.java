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

/**
 * Counts the requests and statements of a stand-in for tests. The counters are never reset. This
 * class is thread-safe.
 */
public final class Counters {
    /** Key of the number of executions of a statement with its parameters. */
    private record StatementKey(String database, LoggedStatement statement) {}

    /** Key of the number of refusals of a database with a code. */
    private record RefusalKey(String database, String code) {}

    private final Map<StatementKey, LongAdder> mExecutions = new ConcurrentHashMap<>();
    private final Map<RefusalKey, LongAdder> mRefusals = new ConcurrentHashMap<>();
    private final Map<String, Integer> mMaxConcurrentStatements = new ConcurrentHashMap<>();
    private final Map<String, Integer> mMaxOpenSessions = new ConcurrentHashMap<>();
    private final Set<String> mHeaderNames = new ConcurrentSkipListSet<>();
    private final Set<String> mFieldNames = new ConcurrentSkipListSet<>();

    Counters() {}

    void recordExecution(String database, LoggedStatement statement) {
        mExecutions
                .computeIfAbsent(new StatementKey(database, statement), key -> new LongAdder())
                .increment();
    }

    void recordRefusal(String database, String code) {
        mRefusals
                .computeIfAbsent(new RefusalKey(database, code), key -> new LongAdder())
                .increment();
    }

    void recordConcurrentStatements(String database, int count) {
        mMaxConcurrentStatements.merge(database, count, Math::max);
    }

    void recordOpenSessions(String database, int count) {
        mMaxOpenSessions.merge(database, count, Math::max);
    }

    void recordRequest(HttpRequest request, JsonNode body) {
        mHeaderNames.addAll(request.headers().keySet());
        body.fieldNames().forEachRemaining(mFieldNames::add);
    }

    /** Returns the number of executions of a statement with any parameters. */
    public long executionCount(String sql) {
        return mExecutions.entrySet().stream()
                .filter(e -> e.getKey().statement().sql().equals(sql))
                .mapToLong(e -> e.getValue().sum())
                .sum();
    }

    /** Returns the number of requests that a database refused with a code. */
    public long refusalCount(String database, String code) {
        LongAdder count = mRefusals.get(new RefusalKey(database, code));
        return count == null ? 0 : count.sum();
    }

    /** Returns the maximum number of statements that a database ran concurrently. */
    public int maxConcurrentStatements(String database) {
        return mMaxConcurrentStatements.getOrDefault(database, 0);
    }

    /** Returns the maximum number of sessions that a database had open at the same time. */
    public int maxOpenSessions(String database) {
        return mMaxOpenSessions.getOrDefault(database, 0);
    }

    /** Returns the names of all received headers in lower case. */
    public Set<String> headerNames() {
        return Set.copyOf(mHeaderNames);
    }

    /** Returns the names of all received top-level body fields. */
    public Set<String> fieldNames() {
        return Set.copyOf(mFieldNames);
    }

    /** Encodes all counters for {@code GET /v1/counters}. */
    ObjectNode toJson() {
        ObjectNode node = Json.object();
        ArrayNode statements = node.putArray("statements");
        mExecutions.forEach(
                (key, count) ->
                        statements
                                .addObject()
                                .put("database", key.database())
                                .put("sql", key.statement().sql())
                                .put("count", count.sum())
                                .set(
                                        "parameters",
                                        EndpointJson.values(key.statement().parameters())));
        ArrayNode refusals = node.putArray("refused");
        mRefusals.forEach(
                (key, count) ->
                        refusals.addObject()
                                .put("database", key.database())
                                .put("code", key.code())
                                .put("count", count.sum()));
        mMaxConcurrentStatements.forEach(node.putObject("mostStatements")::put);
        mMaxOpenSessions.forEach(node.putObject("mostConnections")::put);
        ArrayNode headers = node.putArray("headerNames");
        mHeaderNames.forEach(headers::add);
        ArrayNode fields = node.putArray("fieldNames");
        mFieldNames.forEach(fields::add);
        return node;
    }
}
