package org.crocusturn.standin.database;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Access;
import org.crocusturn.core.ring.Duty;
import org.crocusturn.daemon.endpoints.EndpointJson;
import org.crocusturn.daemon.endpoints.JsonFields;
import org.crocusturn.daemon.net.HttpConnection;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpHandler;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/** Handles the requests of the database port by passing them to the threads of the database. */
final class DatabaseRequestHandler implements HttpHandler {
    private final NetThreads mThreads;
    private final Map<String, ServedDatabase> mDatabases;
    private final Map<String, DatabaseSession> mSessions = new ConcurrentHashMap<>();
    private final CurrentBehaviour mBehaviour;
    private final Counters mCounters;

    DatabaseRequestHandler(
            NetThreads threads,
            Map<String, ServedDatabase> databases,
            CurrentBehaviour behaviour,
            Counters counters) {
        mThreads = threads;
        mDatabases = Map.copyOf(databases);
        mBehaviour = behaviour;
        mCounters = counters;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String request = "";
        try {
            JsonNode body = Json.read(exchange.request().body());
            mCounters.recordRequest(exchange.request(), body);
            request = JsonFields.text(body, "request");
            if (exchange.request().pathWithoutQuery().equals("/v1/session")) {
                handleOpenSession(exchange, request, body);
            } else {
                handleCommand(exchange, request, body);
            }
        } catch (RuntimeException e) {
            exchange.respond(JsonResponse.of(request, LogPosition.ZERO, e).toHttpResponse());
        }
    }

    private void handleOpenSession(HttpExchange exchange, String request, JsonNode body) {
        ServedDatabase database =
                Optional.ofNullable(mDatabases.get(JsonFields.text(body, "database")))
                        .orElseThrow(
                                () ->
                                        RefusedException.badRequest(
                                                "not_found", "there is no such database"));
        long epoch = JsonFields.integer(body, "epoch", 0);
        HttpConnection peer = exchange.connection();
        FaultInjectingSender sender =
                new FaultInjectingSender(
                        exchange,
                        mBehaviour.consumeFaultOfRoute(database.copy().name(), "/v1/session"),
                        mThreads);
        if (mSessions.containsKey(peer.id())) {
            throw RefusedException.conflict("has_session", "the connection already has a session");
        }
        enqueue(
                database.sessionDuty(),
                () -> {
                    JsonResponse response =
                            execute(
                                    request,
                                    database.copy(),
                                    () -> openSession(database, peer, epoch));
                    runAfter(mBehaviour.get().connectMillis(), () -> sender.send(response));
                });
    }

    private CommandResult openSession(ServedDatabase database, HttpConnection peer, long epoch) {
        DatabaseSession session = database.copy().openSession(epoch, peer::close);
        mSessions.put(peer.id(), session);
        peer.onClosed(
                () -> {
                    mSessions.remove(peer.id());
                    if (!database.sessionDuty().offer(session::close)) {
                        session.close();
                    }
                });
        return CommandResult.at(database.copy().position());
    }

    private void handleCommand(HttpExchange exchange, String request, JsonNode body) {
        DatabaseSession session = mSessions.get(exchange.connection().id());
        if (session == null) {
            throw RefusedException.conflict("session_required", "the connection has no session");
        }
        String route = exchange.request().pathWithoutQuery();
        String name = session.copy().name();
        Optional<Fault> fault = mBehaviour.consumeFault(name, route);
        if (fault.filter(f -> f.kind() == Fault.Kind.DROP_BEFORE).isPresent()) {
            exchange.connection().close();
            return;
        }
        Function<SqlSession, CommandResult> command = parseCommand(route, body);
        if (!session.acquire()) {
            throw RefusedException.conflict("busy", "the session is running another command");
        }
        FaultInjectingSender sender = new FaultInjectingSender(exchange, fault, mThreads);
        ServedDatabase database = mDatabases.get(name);
        if (route.startsWith("/v1/run")) {
            runInSlot(database, session, request, command, sender);
        } else if (!database.sessionDuty()
                .offer(() -> sender.send(runCommandAndRelease(request, session, command)))) {
            session.release();
            throw RefusedException.tooManyRequests(
                    "busy", "the command queue of the database is full");
        }
    }

    private void runInSlot(
            ServedDatabase database,
            DatabaseSession session,
            String request,
            Function<SqlSession, CommandResult> command,
            FaultInjectingSender sender) {
        Optional<Duty<Runnable>> slot = database.slots().acquire();
        if (slot.isEmpty()) {
            session.release();
            mCounters.recordRefusal(database.copy().name(), "too_many_statements");
            throw RefusedException.tooManyRequests(
                    "too_many_statements",
                    "the database is running its maximum of "
                            + database.copy().record().slots()
                            + " statements");
        }
        mCounters.recordConcurrentStatements(
                database.copy().name(), database.slots().reservedCount());
        runAfter(
                mBehaviour.get().statementMillis(),
                () ->
                        slot.get()
                                .offer(
                                        () -> {
                                            JsonResponse response =
                                                    runCommandAndRelease(request, session, command);
                                            database.slots().release(slot.get());
                                            sender.send(response);
                                        }));
    }

    /** Runs a command and releases its session before the answer is sent. */
    private JsonResponse runCommandAndRelease(
            String request, DatabaseSession session, Function<SqlSession, CommandResult> command) {
        try {
            return execute(request, session.copy(), () -> command.apply(session.sql()));
        } finally {
            session.release();
        }
    }

    private JsonResponse execute(
            String request, DatabaseCopy copy, java.util.function.Supplier<CommandResult> command) {
        try {
            return JsonResponse.of(request, command.get());
        } catch (RuntimeException e) {
            JsonResponse errorResponse = JsonResponse.of(request, copy.position(), e);
            mCounters.recordRefusal(copy.name(), errorResponse.body().path("code").asText());
            return errorResponse;
        }
    }

    /** Decodes a command and validates all its fields before it runs. */
    private static Function<SqlSession, CommandResult> parseCommand(String route, JsonNode body) {
        if (route.equals("/v1/rollback")) {
            return SqlSession::rollback;
        }
        long term = JsonFields.integer(body, "term", 0);
        switch (route) {
            case "/v1/run" -> {
                LoggedStatement statement = parseStatement(body);
                Access access = parseAccess(JsonFields.text(body, "access"));
                return sql -> sql.run(term, statement, access);
            }
            case "/v1/run-once" -> {
                LoggedStatement statement = parseStatement(body);
                String workspace = JsonFields.text(body, "workspace");
                String requestId = JsonFields.text(body, "requestId");
                return sql -> sql.runOnce(term, workspace, requestId, statement);
            }
            case "/v1/begin" -> {
                return sql -> sql.begin(term);
            }
            case "/v1/commit" -> {
                return sql -> sql.commit(term);
            }
            default -> throw RefusedException.badRequest("not_found", "no such route");
        }
    }

    private static LoggedStatement parseStatement(JsonNode body) {
        String sql = JsonFields.text(body, "sql").strip();
        return new LoggedStatement(
                sql.endsWith(";") ? sql.substring(0, sql.length() - 1) : sql,
                EndpointJson.values(JsonFields.required(body, "parameters"), "parameters"));
    }

    private static Access parseAccess(String text) {
        return java.util.Arrays.stream(Access.values())
                .filter(a -> a.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst()
                .orElseThrow(
                        () ->
                                JsonFields.malformed(
                                        "field \"access\" must be one of "
                                                + java.util.Arrays.stream(Access.values())
                                                        .map(a -> a.name().toLowerCase(Locale.ROOT))
                                                        .collect(Collectors.joining(", "))));
    }

    private static void enqueue(Duty<Runnable> duty, Runnable task) {
        if (!duty.offer(task)) {
            throw RefusedException.tooManyRequests(
                    "busy", "the command queue of the database is full");
        }
    }

    private void runAfter(long millis, Runnable action) {
        if (millis == 0) {
            action.run();
        } else {
            mThreads.group().schedule(action, millis, TimeUnit.MILLISECONDS);
        }
    }
}
