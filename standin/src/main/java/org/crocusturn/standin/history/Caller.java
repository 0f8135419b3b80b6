package org.crocusturn.standin.history;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.Verdict;
import org.crocusturn.daemon.net.Json;

/**
 * Sends the requests of one session to the entry hosts in turn and records them.
 *
 * <p>The rows go to the table {@code entry(number, part, session)}. For one thread.
 */
public final class Caller {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(12);

    /** A host that gave no answer gets no request for this time, as a load balancer does it. */
    private static final long AVOIDED_NANOS = Duration.ofSeconds(10).toNanos();

    private static final long RETRY_PAUSE_MILLIS = 20;
    private static final String INSERT =
            "INSERT INTO entry (number, part, session) VALUES (?, ?, ?)";

    private final List<URI> mEntries;
    private final String mService;
    private final String mKey;
    private final int mSession;
    private final Duration mAnswerTimeout;
    private final Map<URI, Long> mAvoidedUntil = new HashMap<>();
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
    private int mAt;
    private Optional<String> mToken = Optional.empty();

    private Caller(
            List<URI> entries, String service, String key, int session, Duration answerTimeout) {
        mEntries = List.copyOf(entries);
        mService = service;
        mKey = key;
        mSession = session;
        mAt = session;
        mAnswerTimeout = answerTimeout;
    }

    /** Creates a caller that begins a session. */
    public static Caller create(List<URI> entries, String service, String key, int session) {
        return new Caller(entries, service, key, session, ANSWER_TIMEOUT);
    }

    /** Creates a caller that gives a host up after a time of its own. */
    public static Caller create(
            List<URI> entries, String service, String key, int session, Duration answerTimeout) {
        return new Caller(entries, service, key, session, answerTimeout);
    }

    /** Goes to the next entry host; the session stays. */
    public void roam() {
        mAt++;
    }

    /** Runs a write that is no part of the history; returns its failure, empty if it ran. */
    public String run(String sql) {
        return statement(object(sql, "write")).detail();
    }

    /** Inserts one row without a request id; it is sent once. */
    public Operation write(long number) {
        long start = System.nanoTime();
        return written(start, number, 1, statement(insert(number, 0)));
    }

    /** Inserts one row with a request id; it is sent again until it is acknowledged or too late. */
    public Operation writeOnce(long number, Duration limit) {
        long start = System.nanoTime();
        ObjectNode body = insert(number, 0).put("requestId", "write-" + number);
        Verdict worst = Verdict.NOT_RUN;
        while (true) {
            Reply reply = statement(body);
            boolean late =
                    System.nanoTime() - start > limit.toNanos()
                            || Thread.currentThread().isInterrupted();
            if (reply.verdict() != Verdict.NOT_RUN) {
                worst = Verdict.MAY_HAVE_RUN;
            }
            if (reply.done() || late || reply.status() == 401) {
                Verdict verdict = reply.done() ? Verdict.RAN : worst;
                return written(
                        start,
                        number,
                        1,
                        new Reply(reply.status(), verdict, reply.body(), reply.detail()));
            }
            pause();
            roam();
        }
    }

    /** Inserts rows in one transaction. */
    public Operation transaction(long number, int parts) {
        long start = System.nanoTime();
        String base = "/v1/services/" + mService + "/transactions";
        Reply last = send(base, Json.object());
        if (!last.done()) {
            return written(start, number, parts, last);
        }
        String path = base + "/" + last.body().path("transaction").asText();
        long term = 0;
        for (int part = 0; part < parts; part++) {
            last = send(path + "/statements", insert(number, part));
            if (!last.done()) {
                send(path + "/rollback", Json.object());
                return written(start, number, parts, uncommitted(last));
            }
            term = last.term();
        }
        Operation end = written(start, number, parts, send(path + "/commit", Json.object()));
        return new Operation(
                mSession,
                start,
                end.endNanos(),
                end.verdict(),
                number,
                parts,
                List.of(),
                term,
                end.detail());
    }

    /** Reads the rows of this session. */
    public Operation read() {
        return read("SELECT number, part FROM entry WHERE session = " + mSession);
    }

    /** Reads all rows. */
    public Operation readAll() {
        return read("SELECT number, part FROM entry");
    }

    private Operation read(String sql) {
        long start = System.nanoTime();
        Reply reply = statement(object(sql, "read"));
        List<Row> rows =
                StreamSupport.stream(reply.body().path("rows").spliterator(), false)
                        .map(r -> new Row(r.get(0).asLong(), r.get(1).asInt()))
                        .toList();
        return new Operation(
                mSession,
                start,
                System.nanoTime(),
                reply.verdict(),
                0,
                0,
                rows,
                reply.term(),
                reply.detail());
    }

    /** A transaction whose commit was never sent cannot have taken effect. */
    private static Reply uncommitted(Reply reply) {
        return new Reply(reply.status(), Verdict.NOT_RUN, reply.body(), reply.detail());
    }

    private Operation written(long start, long number, int parts, Reply reply) {
        return new Operation(
                mSession,
                start,
                System.nanoTime(),
                reply.verdict(),
                number,
                parts,
                List.of(),
                reply.term(),
                reply.detail());
    }

    private ObjectNode insert(long number, int part) {
        ObjectNode body = object(INSERT, "write");
        body.putArray("parameters").add(number).add(part).add(mSession);
        return body;
    }

    private static ObjectNode object(String sql, String access) {
        return Json.object().put("sql", sql).put("access", access);
    }

    private Reply statement(JsonNode body) {
        return send("/v1/services/" + mService + "/statements", body);
    }

    /** Sends a request to the present host; a host that refuses connections is left. */
    private Reply send(String path, JsonNode body) {
        return IntStream.range(0, mEntries.size())
                .mapToObj(n -> sendOnce(path, body))
                .filter(Optional::isPresent)
                .flatMap(Optional::stream)
                .findFirst()
                .orElseGet(
                        () ->
                                new Reply(
                                        0,
                                        Verdict.NOT_RUN,
                                        Json.object(),
                                        "every host refused the connection"));
    }

    private Optional<Reply> sendOnce(String path, JsonNode body) {
        URI host = mEntries.get(Math.floorMod(mAt, mEntries.size()));
        Long avoided = mAvoidedUntil.get(host);
        if (avoided != null && avoided - System.nanoTime() > 0) {
            roam();
            return Optional.empty();
        }
        HttpRequest.Builder request =
                HttpRequest.newBuilder(host.resolve(path))
                        .timeout(mAnswerTimeout)
                        .header("Authorization", "Bearer " + mKey)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(body)));
        mToken.ifPresent(t -> request.header("Crocusturn-Session", t));
        try {
            HttpResponse<byte[]> answer =
                    mClient.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            answer.headers().firstValue("crocusturn-session").ifPresent(this::keep);
            return Optional.of(reply(host, answer.statusCode(), answer.body()));
        } catch (ConnectException | java.net.http.HttpConnectTimeoutException e) {
            roam();
            return Optional.empty();
        } catch (IOException e) {
            if (e instanceof java.net.http.HttpTimeoutException) {
                mAvoidedUntil.put(host, System.nanoTime() + AVOIDED_NANOS);
            }
            roam();
            return Optional.of(new Reply(0, Verdict.MAY_HAVE_RUN, Json.object(), host + ": " + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.of(new Reply(0, Verdict.MAY_HAVE_RUN, Json.object(), "interrupted"));
        }
    }

    private void keep(String token) {
        mToken = Optional.of(token);
    }

    /** Keeps a retried request from becoming a flood; the callers are meant to be a light load. */
    private static void pause() {
        try {
            new CountDownLatch(1).await(RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Reply reply(URI host, int status, byte[] bytes) {
        JsonNode body;
        try {
            body = Json.read(bytes);
        } catch (CrocusturnException e) {
            body = Json.object();
        }
        if (status / 100 == 2) {
            return new Reply(status, Verdict.RAN, body, "");
        }
        // "ran" without an acknowledgement does not promise that the effect survives.
        Verdict verdict =
                body.path("verdict").asText().equals(Verdict.NOT_RUN.wireName())
                        ? Verdict.NOT_RUN
                        : Verdict.MAY_HAVE_RUN;
        return new Reply(status, verdict, body, host + ": " + status + " " + body);
    }
}
