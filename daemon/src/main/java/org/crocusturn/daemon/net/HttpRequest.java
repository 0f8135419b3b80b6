package org.crocusturn.daemon.net;

import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Complete HTTP request.
 *
 * @param method method in upper case
 * @param path path including the query, such as {@code /v1/status?wait=1}
 * @param headers header values by name in lower case
 * @param body body; empty if there is none; not copied, so it must not be modified
 */
public record HttpRequest(String method, String path, Map<String, String> headers, byte[] body) {
    private static final byte[] NO_BODY = {};

    /** Copies the headers. */
    public HttpRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(body, "body");
        headers = Map.copyOf(headers);
    }

    /** Creates a request without headers and body. */
    public static HttpRequest of(String method, String path) {
        return new HttpRequest(method, path, Map.of(), NO_BODY);
    }

    /** Returns the value of a header, if it was sent. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    /** Returns the path without the query. */
    public String pathWithoutQuery() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    /** Omits the headers, which can contain a key or a session token. */
    @Override
    public String toString() {
        return "HttpRequest[" + method + " " + pathWithoutQuery() + "]";
    }
}
