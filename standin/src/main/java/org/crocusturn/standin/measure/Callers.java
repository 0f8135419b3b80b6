package org.crocusturn.standin.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/**
 * Sends the requests of callers of all workspaces to entry hosts.
 *
 * <p>Safe for any thread; each entry host gets as many connections as requests are open.
 */
final class Callers {
    static final int OK = 200;
    static final String INSERT = "INSERT INTO measured (session, n) VALUES (?, ?)";
    static final String SELECT = "SELECT MAX(n) FROM measured WHERE session = ?";
    private static final int SESSIONS_PER_WORKSPACE = 20;
    private static final long AGE_MILLIS = 5_000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(20);

    private final NetThreads mThreads;
    private final List<InetSocketAddress> mEntries;
    private final Map<String, String> mKeys;
    private final String mService;
    private final List<ConcurrentLinkedDeque<HttpClientConnection>> mFree;
    private final AtomicLong mSessions = new AtomicLong();

    Callers(
            NetThreads threads,
            List<InetSocketAddress> entries,
            Map<String, String> keys,
            String service) {
        mThreads = threads;
        mEntries = List.copyOf(entries);
        mKeys = Map.copyOf(keys);
        mService = service;
        mFree =
                entries.stream()
                        .map(e -> new ConcurrentLinkedDeque<HttpClientConnection>())
                        .toList();
    }

    CallerSession newSession() {
        return CallerSession.of(mSessions.incrementAndGet());
    }

    List<CallerSession> newSessions() {
        return Stream.generate(this::newSession).limit(SESSIONS_PER_WORKSPACE).toList();
    }

    /** Sends a request of a session; the consumer is called once, on an I/O thread. */
    void send(
            Arrival arrival,
            CallerSession session,
            boolean requestIds,
            Consumer<Optional<HttpResponse>> onEnd) {
        ObjectNode body =
                arrival.kind() == Kind.WRITE
                        ? insert(new Row(session.id(), session.sent()), requestIds)
                        : select(session.id(), arrival.kind());
        send(arrival.entry(), arrival.workspace(), session.token(), body, onEnd);
    }

    /** Returns the statement that inserts a row. */
    ObjectNode insert(Row row, boolean requestId) {
        ObjectNode body = Json.object().put("sql", INSERT).put("access", "write");
        body.putArray("parameters").add(row.session()).add(row.n());
        if (requestId) {
            body.put("requestId", "measure-" + row.session() + "-" + row.n());
        }
        return body;
    }

    private static ObjectNode select(long session, Kind kind) {
        ObjectNode body = Json.object().put("sql", SELECT).put("access", "read");
        body.putArray("parameters").add(session);
        if (kind == Kind.AGED_READ) {
            body.put("maxAgeMillis", AGE_MILLIS);
        }
        return body;
    }

    /** Runs one statement and waits for its answer. */
    HttpResponse run(int entry, String workspace, ObjectNode statement) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        send(
                entry,
                workspace,
                Optional.empty(),
                statement,
                answer ->
                        answer.ifPresentOrElse(
                                result::complete,
                                () ->
                                        result.completeExceptionally(
                                                new IllegalStateException("no answer"))));
        return result.join();
    }

    private void send(
            int entry,
            String workspace,
            Optional<String> token,
            ObjectNode body,
            Consumer<Optional<HttpResponse>> onEnd) {
        Map<String, String> headers = new HashMap<>();
        headers.put("authorization", "Bearer " + mKeys.get(workspace));
        headers.put("content-type", "application/json");
        token.ifPresent(t -> headers.put("crocusturn-session", t));
        HttpRequest request =
                new HttpRequest(
                        "POST",
                        "/v1/services/" + mService + "/statements",
                        headers,
                        Json.write(body));
        connection(entry)
                .thenCompose(
                        c ->
                                c.send(request, ANSWER_TIMEOUT)
                                        .whenComplete((answer, error) -> free(entry, c)))
                .whenComplete((answer, error) -> onEnd.accept(Optional.ofNullable(answer)));
    }

    private CompletableFuture<HttpClientConnection> connection(int entry) {
        HttpClientConnection free = mFree.get(entry).pollFirst();
        while (free != null && !free.isOpen()) {
            free = mFree.get(entry).pollFirst();
        }
        return free != null
                ? CompletableFuture.completedFuture(free)
                : HttpClientConnection.connect(mThreads, mEntries.get(entry), CONNECT_TIMEOUT);
    }

    private void free(int entry, HttpClientConnection connection) {
        if (connection.isOpen()) {
            mFree.get(entry).addFirst(connection);
        }
    }
}
