package org.crocusturn.daemon.callers;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.callers.TransactionId;

/**
 * Encodes transaction ids as the path segments that callers use, and decodes them.
 *
 * <p>The text is not signed, because a forged id does not contain the random secret and so matches
 * no transaction.
 */
public final class TransactionIdCodec {
    /** Maximum length: two names of 100 characters, the epoch, the secret and three separators. */
    public static final int MAX_CHARACTERS = 100 + 100 + 19 + 32 + 3;

    /** Separator, which is valid in paths and does not occur in names. */
    private static final char SEPARATOR = '~';

    private static final Pattern ID_PATTERN =
            Pattern.compile("([^~]{1,100})~([^~]{1,100})~(0|[1-9][0-9]{0,18})~([0-9a-f]{32})");

    private TransactionIdCodec() {}

    /** Encodes an id. */
    public static String encode(TransactionId id) {
        return id.group().service()
                + SEPARATOR
                + id.group().database()
                + SEPARATOR
                + id.epoch()
                + SEPARATOR
                + id.secret();
    }

    /**
     * Decodes an id.
     *
     * @throws CrocusturnException with NOT_FOUND if the text is not a valid id
     */
    public static TransactionId decode(String text) {
        Matcher matcher = ID_PATTERN.matcher(text);
        if (text.length() > MAX_CHARACTERS || !matcher.matches()) {
            throw notFound();
        }
        try {
            return new TransactionId(
                    GroupId.of(matcher.group(1), matcher.group(2)),
                    Long.parseLong(matcher.group(3)),
                    matcher.group(4));
        } catch (CrocusturnException | NumberFormatException e) {
            throw notFound();
        }
    }

    private static CrocusturnException notFound() {
        return CrocusturnException.notRun(ErrorCode.NOT_FOUND, "there is no such transaction");
    }
}
