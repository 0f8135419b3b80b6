package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.Verdict;
import org.crocusturn.daemon.endpoints.EndpointJson;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;

/**
 * Is an answer before it is encoded.
 *
 * @param status HTTP status
 * @param body body
 */
record Answers(int status, ObjectNode body) {
    private static final int OK = 200;
    private static final int MALFORMED = 400;
    private static final int INTERNAL = 500;

    static Answers ok(ObjectNode body) {
        return new Answers(OK, body);
    }

    static Answers of(String request, RunResult result) {
        ObjectNode body = head(request, result.position());
        ArrayNode columns = body.putArray("columns");
        result.rows().columns().forEach(columns::add);
        body.set("rows", EndpointJson.rows(result.rows().rows()));
        return ok(body.put("updated", result.rows().updated()).put("repeated", result.repeated()));
    }

    /** Encodes a failure; anything unforeseen may have happened after the statement ran. */
    static Answers of(String request, LogPosition position, RuntimeException error) {
        if (error instanceof RefusedException refused) {
            return refusal(
                    request,
                    position,
                    refused.status(),
                    refused.code(),
                    refused.getMessage(),
                    refused.verdict());
        }
        if (error instanceof CrocusturnException malformed) {
            return refusal(
                    request,
                    position,
                    MALFORMED,
                    malformed.failure().code().wireName(),
                    malformed.getMessage(),
                    malformed.failure().verdict());
        }
        return refusal(
                request,
                position,
                INTERNAL,
                "internal",
                "unexpected " + error,
                Verdict.MAY_HAVE_RUN);
    }

    HttpResponse encode() {
        return HttpResponse.json(status, Json.write(body));
    }

    private static Answers refusal(
            String request,
            LogPosition position,
            int status,
            String code,
            String message,
            Verdict verdict) {
        return new Answers(
                status,
                head(request, position)
                        .put("code", code)
                        .put("message", message)
                        .put("verdict", verdict.wireName()));
    }

    private static ObjectNode head(String request, LogPosition position) {
        return Json.object()
                .put("request", request)
                .put("term", position.term())
                .put("index", position.index());
    }
}
