package org.crocusturn.daemon.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.Statement;
import org.crocusturn.core.endpoints.DatabaseCommand;
import org.crocusturn.core.endpoints.DatabaseResult;
import org.crocusturn.core.endpoints.RequestId;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.Json;

/** Encodes commands of the database protocol and decodes their answers. */
final class DatabaseCodec {
    private static final Map<String, String> HEADERS = Map.of("content-type", "application/json");

    private DatabaseCodec() {}

    static HttpRequest session(RequestId request, String database, long epoch) {
        return post(
                "/v1/session",
                Json.object()
                        .put("request", request.value())
                        .put("database", database)
                        .put("epoch", epoch));
    }

    static HttpRequest command(RequestId request, DatabaseCommand command) {
        ObjectNode body = Json.object().put("request", request.value());
        if (command instanceof DatabaseCommand.Run run) {
            body.put("term", run.term());
            body.put("access", run.statement().access().name().toLowerCase(Locale.ROOT));
            return post("/v1/run", withStatement(body, run.statement()));
        }
        if (command instanceof DatabaseCommand.RunOnce once) {
            body.put("term", once.term());
            body.put("workspace", once.workspace().value());
            body.put("requestId", once.statement().requestId().orElseThrow());
            return post("/v1/run-once", withStatement(body, once.statement()));
        }
        if (command instanceof DatabaseCommand.Begin begin) {
            return post("/v1/begin", body.put("term", begin.term()));
        }
        if (command instanceof DatabaseCommand.Commit commit) {
            return post("/v1/commit", body.put("term", commit.term()));
        }
        return post("/v1/rollback", body);
    }

    /**
     * Decodes an answer.
     *
     * @throws org.crocusturn.core.CrocusturnException if the answer is malformed or belongs to
     *     another request
     */
    static DatabaseResult result(RequestId request, int status, JsonNode body) {
        EndpointJson.requireAnswer(request, body);
        // The status line may be that of an earlier answer, whose rest was cut off.
        if ((status == 200) == body.has("code")) {
            throw JsonFields.malformed("the answer has status " + status + " and another outcome");
        }
        if (status != 200) {
            return new DatabaseResult.Refused(failure(body));
        }
        List<String> columns =
                body.has("columns")
                        ? JsonFields.list(body, "columns", (node, name) -> node.asText())
                        : List.of();
        List<List<SqlValue>> rows =
                body.has("rows") ? JsonFields.list(body, "rows", EndpointJson::values) : List.of();
        if (rows.stream().anyMatch(row -> row.size() != columns.size())) {
            throw JsonFields.malformed("a row of the answer does not have one value per column");
        }
        return new DatabaseResult.Done(
                columns,
                rows,
                body.has("updated") ? JsonFields.integer(body, "updated", 0) : 0,
                LogPosition.of(
                        JsonFields.integer(body, "term", 0), JsonFields.integer(body, "index", 0)),
                body.has("repeated") && JsonFields.bool(body, "repeated"));
    }

    static HttpRequest post(String path, JsonNode body) {
        return new HttpRequest("POST", path, HEADERS, Json.write(body));
    }

    /** Decodes an error; an unknown or missing verdict is treated as "may have run". */
    static Failure failure(JsonNode body) {
        String code = body.path("code").asText("unknown");
        Verdict verdict =
                List.of(Verdict.values()).stream()
                        .filter(v -> v.wireName().equals(body.path("verdict").asText()))
                        .findFirst()
                        .orElse(Verdict.MAY_HAVE_RUN);
        return new Failure(
                code(code, verdict),
                verdict,
                code + ": " + body.path("message").asText(""),
                Optional.empty());
    }

    private static ObjectNode withStatement(ObjectNode body, Statement statement) {
        body.put("sql", statement.sql());
        body.set("parameters", EndpointJson.values(statement.parameters()));
        return body;
    }

    private static ErrorCode code(String code, Verdict verdict) {
        return switch (code) {
            case "malformed_request" -> ErrorCode.MALFORMED_REQUEST;
            case "sql_error", "read_only" -> ErrorCode.DATABASE_REFUSED;
            case "too_many_statements", "too_many_connections", "busy" -> ErrorCode.OVERLOADED;
            case "transaction_lost" -> ErrorCode.TRANSACTION_LOST;
            case "wrong_term", "not_primary", "old_epoch", "session_required" ->
                    ErrorCode.UNAVAILABLE;
            default ->
                    verdict == Verdict.MAY_HAVE_RUN
                            ? ErrorCode.OUTCOME_UNKNOWN
                            : ErrorCode.INTERNAL;
        };
    }
}
