package org.crocusturn.daemon.net;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Complete HTTP response.
 *
 * @param status status code
 * @param headers headers other than content-length and connection, by name in lower case
 * @param body body; not copied, so it must not be modified
 * @param closesConnection whether the connection is closed after the response
 */
public record HttpResponse(
        int status, Map<String, String> headers, byte[] body, boolean closesConnection) {
    /** Copies the headers. */
    public HttpResponse {
        Objects.requireNonNull(body, "body");
        headers = Map.copyOf(headers);
    }

    /** Creates a response with a JSON body. */
    public static HttpResponse json(int status, byte[] body) {
        return new HttpResponse(status, Map.of("content-type", "application/json"), body, false);
    }

    /** Returns the value of a header, if it was sent. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(java.util.Locale.ROOT)));
    }

    /** Returns a copy with a header added or replaced. */
    public HttpResponse withHeader(String name, String value) {
        Map<String, String> copy = new java.util.HashMap<>(headers);
        copy.put(name.toLowerCase(java.util.Locale.ROOT), value);
        return new HttpResponse(status, copy, body, closesConnection);
    }

    /** Returns a copy after which the connection is closed. */
    public HttpResponse withClose() {
        return new HttpResponse(status, headers, body, true);
    }
}
