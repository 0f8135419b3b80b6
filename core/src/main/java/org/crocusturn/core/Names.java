package org.crocusturn.core;

import java.util.Objects;
import java.util.regex.Pattern;

/** Validates names that are chosen by operators and processes. */
public final class Names {
    /** These characters need no escaping in paths, headers and log lines. */
    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

    /** Maximum characters of a rejected value in a message. */
    private static final int MAX_QUOTED_CHARACTERS = 100;

    private Names() {}

    /**
     * Returns a value in quotation marks for a message about it. A long value is shortened, because
     * it may be as long as a request.
     */
    public static String quote(String value) {
        return value.length() <= MAX_QUOTED_CHARACTERS
                ? "\"" + value + "\""
                : "\"" + value.substring(0, MAX_QUOTED_CHARACTERS) + "...\"";
    }

    /**
     * Returns the value if it is a valid name.
     *
     * @param value name to validate
     * @param kind kind of object that the name identifies, used in the message
     * @throws CrocusturnException if the name is not valid
     */
    public static String check(String value, String kind) {
        Objects.requireNonNull(value, kind);
        if (!VALID.matcher(value).matches()) {
            throw CrocusturnException.notRun(
                    ErrorCode.MALFORMED_REQUEST,
                    kind
                            + " "
                            + quote(value)
                            + " must have 1 to 100 letters, digits, dots, hyphens or underscores"
                            + " and start with a letter or digit");
        }
        return value;
    }
}
