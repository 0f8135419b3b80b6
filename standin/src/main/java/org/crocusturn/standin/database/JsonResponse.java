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
 * An HTTP answer with a JSON body that is not yet serialised.
 *
 * @param status HTTP status
 * @param body JSON body
 */
record JsonResponse(int status, ObjectNode body) {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_SERVER_ERROR = 500;

    static JsonResponse ok(ObjectNode body) {
        return new JsonResponse(OK, body);
    }

    static JsonResponse of(String request, CommandResult result) {
        ObjectNode body = bodyWithPosition(request, result.position());
        ArrayNode columns = body.putArray("columns");
        result.statementResult().columns().forEach(columns::add);
        body.set("rows", EndpointJson.rows(result.statementResult().rows()));
        return ok(
                body.put("updated", result.statementResult().updated())
                        .put("repeated", result.repeated()));
    }

    /**
     * Creates the answer of a failure. An unexpected exception has the verdict {@code
     * may_have_run}, because it may have occurred after the statement ran.
     */
    static JsonResponse of(String request, LogPosition position, RuntimeException error) {
        if (error instanceof RefusedException refused) {
            return error(
                    request,
                    position,
                    refused.status(),
                    refused.code(),
                    refused.getMessage(),
                    refused.verdict());
        }
        if (error instanceof CrocusturnException malformed) {
            return error(
                    request,
                    position,
                    BAD_REQUEST,
                    malformed.failure().code().wireName(),
                    malformed.getMessage(),
                    malformed.failure().verdict());
        }
        return error(
                request,
                position,
                INTERNAL_SERVER_ERROR,
                "internal",
                "unexpected " + error,
                Verdict.MAY_HAVE_RUN);
    }

    /** Returns an answer that names a request. */
    JsonResponse withRequest(String request) {
        return new JsonResponse(status, body.deepCopy().put("request", request));
    }

    HttpResponse toHttpResponse() {
        return HttpResponse.json(status, Json.write(body));
    }

    private static JsonResponse error(
            String request,
            LogPosition position,
            int status,
            String code,
            String message,
            Verdict verdict) {
        return new JsonResponse(
                status,
                bodyWithPosition(request, position)
                        .put("code", code)
                        .put("message", message)
                        .put("verdict", verdict.wireName()));
    }

    private static ObjectNode bodyWithPosition(String request, LogPosition position) {
        return Json.object()
                .put("request", request)
                .put("term", position.term())
                .put("index", position.index());
    }
}
