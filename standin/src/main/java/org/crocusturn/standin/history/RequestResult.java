package org.crocusturn.standin.history;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocusturn.core.Verdict;

/**
 * Result of one HTTP request, also if no response arrived.
 *
 * @param status HTTP status, 0 without a response
 * @param verdict whether the request may have taken effect
 * @param body body of the response, an empty object without one
 * @param detail description of the failure, empty on success
 */
record RequestResult(int status, Verdict verdict, JsonNode body, String detail) {
    boolean isSuccess() {
        return status / 100 == 2;
    }

    long term() {
        return body.path("servedBy").path("term").asLong();
    }
}
