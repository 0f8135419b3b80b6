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

/** Takes the requests of the database port and hands them to the threads of the database. */
final class DatabaseRoutes implements HttpHandler {
    private final NetThreads mThreads;
    private final Map<String, ServedDatabase> mDatabases;
    private final Map<String, DatabaseSession> mSessions = new ConcurrentHashMap<>();
    private final BehaviourSwitch mBehaviour;
    private final Counters mCounters;

    DatabaseRoutes(
            NetThreads threads,
            Map<String, ServedDatabase> databases,
            BehaviourSwitch behaviour,
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
            mCounters.received(exchange.request(), body);
            request = JsonFields.text(body, "request");
            if (exchange.request().pathWithoutQuery().equals("/v1/session")) {
                open(exchange, request, body);
            } else {
                command(exchange, request, body);
            }
        } catch (RuntimeException e) {
            exchange.respond(Answers.of(request, LogPosition.ZERO, e).encode());
        }
    }

    private void open(HttpExchange exchange, String request, JsonNode body) {
        ServedDatabase database =
                Optional.ofNullable(mDatabases.get(JsonFields.text(body, "database")))
                        .orElseThrow(
                                () ->
                                        RefusedException.malformed(
                                                "not_found", "there is no such database"));
        long epoch = JsonFields.integer(body, "epoch", 0);
        HttpConnection peer = exchange.connection();
        if (mSessions.containsKey(peer.id())) {
            throw RefusedException.conflict("has_session", "the connection has a session");
        }
        hand(
                database.sessionDuty(),
                () -> {
                    Answers answer =
                            answer(
                                    request,
                                    database.copy(),
                                    () -> openSession(database, peer, epoch));
                    after(
                            mBehaviour.get().connectMillis(),
                            () -> exchange.respond(answer.encode()));
                });
    }

    private RunResult openSession(ServedDatabase database, HttpConnection peer, long epoch) {
        DatabaseSession session = database.copy().openSession(epoch, peer::close);
        mSessions.put(peer.id(), session);
        peer.onClosed(
                () -> {
                    mSessions.remove(peer.id());
                    if (!database.sessionDuty().offer(session::close)) {
                        session.close();
                    }
                });
        return RunResult.at(database.copy().position());
    }

    private void command(HttpExchange exchange, String request, JsonNode body) {
        DatabaseSession session = mSessions.get(exchange.connection().id());
        if (session == null) {
            throw RefusedException.conflict("session_required", "open a session first");
        }
        String route = exchange.request().pathWithoutQuery();
        String name = session.copy().name();
        Optional<Fault> fault = mBehaviour.take(name, route);
        if (fault.filter(f -> f.kind() == Fault.Kind.DROP_BEFORE).isPresent()) {
            exchange.connection().close();
            return;
        }
        Function<SqlSession, RunResult> work = work(route, body);
        if (!session.acquire()) {
            throw RefusedException.conflict("busy", "the session runs another command");
        }
        FaultyAnswer sender = new FaultyAnswer(exchange, fault, this::after);
        ServedDatabase database = mDatabases.get(name);
        if (route.startsWith("/v1/run")) {
            runInSlot(database, session, request, work, sender);
        } else if (!database.sessionDuty()
                .offer(() -> sender.send(finish(request, session, work)))) {
            session.release();
            throw RefusedException.tooMany("busy", "too many commands wait");
        }
    }

    private void runInSlot(
            ServedDatabase database,
            DatabaseSession session,
            String request,
            Function<SqlSession, RunResult> work,
            FaultyAnswer sender) {
        Optional<Duty<Runnable>> slot = database.slots().acquire();
        if (slot.isEmpty()) {
            session.release();
            mCounters.refused(database.copy().name(), "too_many_statements");
            throw RefusedException.tooMany(
                    "too_many_statements",
                    "the database runs " + database.copy().record().slots() + " statements");
        }
        mCounters.statements(database.copy().name(), database.slots().used());
        after(
                mBehaviour.get().statementMillis(),
                () ->
                        slot.get()
                                .offer(
                                        () -> {
                                            Answers answer = finish(request, session, work);
                                            database.slots().release(slot.get());
                                            sender.send(answer);
                                        }));
    }

    /** Runs a command and frees its session before the answer leaves. */
    private Answers finish(
            String request, DatabaseSession session, Function<SqlSession, RunResult> work) {
        try {
            return answer(request, session.copy(), () -> work.apply(session.sql()));
        } finally {
            session.release();
        }
    }

    private Answers answer(
            String request, DatabaseCopy copy, java.util.function.Supplier<RunResult> work) {
        try {
            return Answers.of(request, work.get());
        } catch (RuntimeException e) {
            Answers refusal = Answers.of(request, copy.position(), e);
            mCounters.refused(copy.name(), refusal.body().path("code").asText());
            return refusal;
        }
    }

    /** Reads a command; all its fields are checked before anything runs. */
    private static Function<SqlSession, RunResult> work(String route, JsonNode body) {
        if (route.equals("/v1/rollback")) {
            return SqlSession::rollback;
        }
        long term = JsonFields.integer(body, "term", 0);
        switch (route) {
            case "/v1/run" -> {
                LoggedStatement statement = statement(body);
                Access access = access(JsonFields.text(body, "access"));
                return sql -> sql.run(term, statement, access);
            }
            case "/v1/run-once" -> {
                LoggedStatement statement = statement(body);
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
            default -> throw RefusedException.malformed("not_found", "no such route");
        }
    }

    private static LoggedStatement statement(JsonNode body) {
        String sql = JsonFields.text(body, "sql").strip();
        return new LoggedStatement(
                sql.endsWith(";") ? sql.substring(0, sql.length() - 1) : sql,
                EndpointJson.values(JsonFields.required(body, "parameters"), "parameters"));
    }

    private static Access access(String text) {
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

    private static void hand(Duty<Runnable> duty, Runnable work) {
        if (!duty.offer(work)) {
            throw RefusedException.tooMany("busy", "too many commands wait");
        }
    }

    private void after(long millis, Runnable action) {
        if (millis == 0) {
            action.run();
        } else {
            mThreads.group().schedule(action, millis, TimeUnit.MILLISECONDS);
        }
    }
}
