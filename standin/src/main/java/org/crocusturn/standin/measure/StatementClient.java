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
 * Sends statements of callers of all workspaces to the entry hosts.
 *
 * <p>Thread-safe. Each open request has a connection of its own; idle connections are reused.
 */
final class StatementClient {
    static final int OK = 200;
    static final String INSERT = "INSERT INTO measured (session, n) VALUES (?, ?)";
    static final String SELECT = "SELECT MAX(n) FROM measured WHERE session = ?";
    private static final int SESSIONS_PER_WORKSPACE = 20;
    private static final long MAX_AGE_MILLIS = 5_000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

    private final NetThreads mThreads;
    private final List<InetSocketAddress> mEntryHosts;
    private final Map<String, String> mKeys;
    private final String mService;
    private final List<ConcurrentLinkedDeque<HttpClientConnection>> mIdleConnections;
    private final AtomicLong mLastSessionId = new AtomicLong();

    StatementClient(
            NetThreads threads,
            List<InetSocketAddress> entryHosts,
            Map<String, String> keys,
            String service) {
        mThreads = threads;
        mEntryHosts = List.copyOf(entryHosts);
        mKeys = Map.copyOf(keys);
        mService = service;
        mIdleConnections =
                entryHosts.stream()
                        .map(e -> new ConcurrentLinkedDeque<HttpClientConnection>())
                        .toList();
    }

    CallerSession newSession() {
        return CallerSession.of(mLastSessionId.incrementAndGet());
    }

    List<CallerSession> newSessions() {
        return Stream.generate(this::newSession).limit(SESSIONS_PER_WORKSPACE).toList();
    }

    /** Sends a request of a session; the callback runs once, on an I/O thread. */
    void send(
            Arrival arrival,
            CallerSession session,
            boolean requestIds,
            Consumer<Optional<HttpResponse>> onComplete) {
        ObjectNode body =
                arrival.kind() == RequestKind.WRITE
                        ? insertStatement(
                                new RowId(session.id(), session.lastSentWrite()), requestIds)
                        : selectStatement(session.id(), arrival.kind());
        send(arrival.entryHost(), arrival.workspace(), session.token(), body, onComplete);
    }

    /** Returns the statement that inserts a row. */
    ObjectNode insertStatement(RowId row, boolean requestId) {
        ObjectNode body = Json.object().put("sql", INSERT).put("access", "write");
        body.putArray("parameters").add(row.session()).add(row.writeNumber());
        if (requestId) {
            body.put("requestId", "measure-" + row.session() + "-" + row.writeNumber());
        }
        return body;
    }

    private static ObjectNode selectStatement(long session, RequestKind kind) {
        ObjectNode body = Json.object().put("sql", SELECT).put("access", "read");
        body.putArray("parameters").add(session);
        if (kind == RequestKind.AGED_READ) {
            body.put("maxAgeMillis", MAX_AGE_MILLIS);
        }
        return body;
    }

    /** Sends one statement and waits for its answer. */
    HttpResponse sendAndWait(int entryHost, String workspace, ObjectNode statement) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        send(
                entryHost,
                workspace,
                Optional.empty(),
                statement,
                answer ->
                        answer.ifPresentOrElse(
                                result::complete,
                                () ->
                                        result.completeExceptionally(
                                                new IllegalStateException(
                                                        "the entry host did not answer"))));
        return result.join();
    }

    private void send(
            int entryHost,
            String workspace,
            Optional<String> token,
            ObjectNode body,
            Consumer<Optional<HttpResponse>> onComplete) {
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
        connection(entryHost)
                .thenCompose(
                        c ->
                                c.send(request, RESPONSE_TIMEOUT)
                                        .whenComplete((answer, error) -> release(entryHost, c)))
                .whenComplete((answer, error) -> onComplete.accept(Optional.ofNullable(answer)));
    }

    private CompletableFuture<HttpClientConnection> connection(int entryHost) {
        HttpClientConnection free = mIdleConnections.get(entryHost).pollFirst();
        while (free != null && !free.isOpen()) {
            free = mIdleConnections.get(entryHost).pollFirst();
        }
        return free != null
                ? CompletableFuture.completedFuture(free)
                : HttpClientConnection.connect(
                        mThreads, mEntryHosts.get(entryHost), CONNECT_TIMEOUT);
    }

    private void release(int entryHost, HttpClientConnection connection) {
        if (connection.isOpen()) {
            mIdleConnections.get(entryHost).addFirst(connection);
        }
    }
}
