package org.crocusturn.standin.history;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocusturn.core.Verdict;

/**
 * Is the answer to one HTTP request, or what is known without one.
 *
 * @param status HTTP status, 0 without an answer
 * @param verdict whether the request ran
 * @param body body of the answer
 * @param detail text for messages
 */
record RequestResult(int status, Verdict verdict, JsonNode body, String detail) {
    boolean isSuccess() {
        return status / 100 == 2;
    }

    long term() {
        return body.path("servedBy").path("term").asLong();
    }
}
