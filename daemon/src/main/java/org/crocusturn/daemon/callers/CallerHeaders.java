package org.crocusturn.daemon.callers;

import java.util.Optional;
import java.util.regex.Pattern;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Sha256;
import org.crocusturn.daemon.net.HttpRequest;

/** Parses the headers of callers; error messages never contain header values. */
final class CallerHeaders {
    /** Name of the header that carries the session token, in lower case. */
    static final String SESSION = "crocusturn-session";

    private static final Pattern AUTHORIZATION =
            Pattern.compile("(?i:Bearer) ([A-Za-z0-9._~+/=-]{1,512})");

    private static final Pattern SESSION_TEXT =
            Pattern.compile("[A-Za-z0-9_-]{1," + SessionTokenCodec.MAX_CHARACTERS + "}");

    private static final Pattern JSON =
            Pattern.compile("(?i)application/json *(; *charset=\"?utf-8\"? *)?");

    private CallerHeaders() {}

    /**
     * Returns the hash of the key.
     *
     * @throws CrocusturnException with KEY_REFUSED if no key was sent
     */
    static String keyHash(HttpRequest request) {
        var matcher =
                request.header("authorization")
                        .map(AUTHORIZATION::matcher)
                        .filter(java.util.regex.Matcher::matches)
                        .orElseThrow(
                                () ->
                                        CrocusturnException.notRun(
                                                ErrorCode.KEY_REFUSED,
                                                "header authorization must be Bearer and a key"));
        return Sha256.hex(matcher.group(1));
    }

    /**
     * Returns the encoded session token, if one was sent.
     *
     * @throws CrocusturnException with SESSION_INVALID if it has invalid characters or is too long
     */
    static Optional<String> session(HttpRequest request) {
        Optional<String> text = request.header(SESSION);
        if (text.isPresent() && !SESSION_TEXT.matcher(text.get()).matches()) {
            throw CrocusturnException.notRun(
                    ErrorCode.SESSION_INVALID, "the session token is not valid for this workspace");
        }
        return text;
    }

    /** Checks that the content type of a request with a body is JSON or absent. */
    static void requireJsonContentType(HttpRequest request) {
        boolean isJson =
                request.header("content-type")
                        .map(type -> JSON.matcher(type).matches())
                        .orElse(true);
        if (request.body().length > 0 && !isJson) {
            throw StatementParser.malformed("header content-type must be application/json");
        }
    }
}
