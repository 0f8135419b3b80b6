package org.crocusturn.daemon.callers;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.callers.GroupOperation;
import org.crocusturn.core.callers.TransactionId;

/**
 * Parsed method and path of a caller's request.
 *
 * @param service name of the service
 * @param action requested action
 * @param transaction transaction in the path, if any
 */
record CallerRoute(String service, Action action, Optional<TransactionId> transaction) {
    private static final Pattern PATH =
            Pattern.compile(
                    "/v1/services/([A-Za-z0-9][A-Za-z0-9._-]{0,99})/"
                            + "(statements|transactions"
                            + "(?:/([^/]+)/(statements|commit|rollback))?)");

    /**
     * Parses a method and a path.
     *
     * @throws CrocusturnException with NOT_FOUND if they match no route
     */
    static CallerRoute parse(String method, String path) {
        Matcher matcher = PATH.matcher(path);
        if (!matcher.matches() || !method.equals("POST")) {
            throw notFound("there is no such route");
        }
        String service = matcher.group(1);
        if (matcher.group(3) == null) {
            boolean statement = matcher.group(2).equals("statements");
            return new CallerRoute(
                    service, statement ? Action.EXECUTE : Action.BEGIN, Optional.empty());
        }
        TransactionId transaction = TransactionIdCodec.decode(matcher.group(3));
        if (!transaction.group().service().equals(service)) {
            throw notFound("there is no such transaction");
        }
        Action action =
                switch (matcher.group(4)) {
                    case "commit" -> Action.COMMIT;
                    case "rollback" -> Action.ROLLBACK;
                    default -> Action.EXECUTE_IN_TRANSACTION;
                };
        return new CallerRoute(service, action, Optional.of(transaction));
    }

    /**
     * Returns the operation that the route and a body describe.
     *
     * @throws CrocusturnException if the body is not valid for the route
     */
    CallerOperation toOperation(byte[] body) {
        return new CallerOperation(
                service,
                switch (action) {
                    case EXECUTE -> new GroupOperation.Execute(StatementParser.parse(body));
                    case EXECUTE_IN_TRANSACTION ->
                            new GroupOperation.ExecuteInTransaction(
                                    transaction.orElseThrow(),
                                    StatementParser.parseInTransaction(body));
                    case BEGIN -> withoutBody(body, new GroupOperation.Begin());
                    case COMMIT ->
                            withoutBody(body, new GroupOperation.Commit(transaction.orElseThrow()));
                    case ROLLBACK ->
                            withoutBody(
                                    body, new GroupOperation.Rollback(transaction.orElseThrow()));
                });
    }

    private static GroupOperation withoutBody(byte[] body, GroupOperation operation) {
        StatementParser.requireEmptyBody(body);
        return operation;
    }

    private static CrocusturnException notFound(String message) {
        return CrocusturnException.notRun(ErrorCode.NOT_FOUND, message);
    }

    /** Action of a route. */
    enum Action {
        EXECUTE,
        BEGIN,
        EXECUTE_IN_TRANSACTION,
        COMMIT,
        ROLLBACK
    }
}
