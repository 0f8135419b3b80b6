package org.crocusturn.daemon.callers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.crocusturn.core.callers.GroupAnswer;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.ServedBy;
import org.crocusturn.core.callers.SqlValue;
import org.crocusturn.core.callers.StatementAnswer;
import org.crocusturn.daemon.net.FailureResponse;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;

/** Encodes the answer to a caller as an HTTP response. */
public final class AnswerEncoder {
    private static final int OK = 200;
    private static final int CREATED = 201;

    private AnswerEncoder() {}

    /** Returns the HTTP response, as documented in docs/API.md. */
    public static HttpResponse encode(CallerAnswer answer) {
        HttpResponse response = encode(answer.outcome());
        if (answer.session().isPresent()) {
            response = response.withHeader(CallerHeaders.SESSION, answer.session().get());
        }
        return answer.closesConnection() ? response.withClose() : response;
    }

    private static HttpResponse encode(Outcome outcome) {
        if (outcome instanceof Outcome.Failed failed) {
            return FailureResponse.of(failed.failure());
        }
        GroupAnswer answer = ((Outcome.Answered) outcome).answer();
        if (answer.transaction().isPresent()) {
            String id = TransactionIdCodec.encode(answer.transaction().get());
            return json(CREATED, Json.object().put("transaction", id));
        }
        return json(OK, answer.statement().map(AnswerEncoder::statement).orElseGet(Json::object));
    }

    private static ObjectNode statement(StatementAnswer answer) {
        ObjectNode body = Json.object();
        ArrayNode columns = body.putArray("columns");
        answer.columns().forEach(columns::add);
        ArrayNode rows = body.putArray("rows");
        answer.rows().forEach(row -> addRow(rows.addArray(), row));
        body.put("updated", answer.updated());
        body.set("servedBy", servedBy(answer.servedBy()));
        return body;
    }

    private static void addRow(ArrayNode array, List<SqlValue> row) {
        row.forEach(value -> JsonValues.add(array, value));
    }

    private static ObjectNode servedBy(ServedBy servedBy) {
        return Json.object()
                .put("endpoint", servedBy.endpoint().value())
                .put("role", servedBy.role().name().toLowerCase(Locale.ROOT))
                .put("term", servedBy.term());
    }

    private static HttpResponse json(int status, ObjectNode body) {
        return HttpResponse.json(status, Json.write(body));
    }
}
