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
 * Client that sends the requests of one session to the entry hosts and returns each operation with
 * its outcome.
 *
 * <p>Rows are inserted into the table {@code entry(number, part, session)}. Not thread-safe.
 */
public final class Caller {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(12);

    /**
     * Time without requests to a host whose response timed out; a load balancer takes such a host
     * out of rotation too.
     */
    private static final long HOST_BACKOFF_NANOS = Duration.ofSeconds(10).toNanos();

    private static final long RETRY_PAUSE_MILLIS = 20;
    private static final String INSERT =
            "INSERT INTO entry (number, part, session) VALUES (?, ?, ?)";

    private final List<URI> mEntryUrls;
    private final String mService;
    private final String mKey;
    private final int mSession;
    private final Duration mResponseTimeout;
    private final Map<URI, Long> mBackoffUntil = new HashMap<>();
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
    private int mHostIndex;
    private Optional<String> mSessionToken = Optional.empty();

    private Caller(
            List<URI> entryUrls,
            String service,
            String key,
            int session,
            Duration responseTimeout) {
        mEntryUrls = List.copyOf(entryUrls);
        mService = service;
        mKey = key;
        mSession = session;
        mHostIndex = session;
        mResponseTimeout = responseTimeout;
    }

    /** Creates a caller that starts a new session, with the default response timeout. */
    public static Caller create(List<URI> entryUrls, String service, String key, int session) {
        return new Caller(entryUrls, service, key, session, RESPONSE_TIMEOUT);
    }

    /** Creates a caller that starts a new session, with the given response timeout. */
    public static Caller create(
            List<URI> entryUrls,
            String service,
            String key,
            int session,
            Duration responseTimeout) {
        return new Caller(entryUrls, service, key, session, responseTimeout);
    }

    /** Switches to the next entry host within the same session. */
    public void switchHost() {
        mHostIndex++;
    }

    /**
     * Executes a write that does not belong to the history.
     *
     * @return the failure, empty on success
     */
    public String execute(String sql) {
        return sendStatement(statementBody(sql, "write")).detail();
    }

    /** Inserts one row without a request id; an entry host receives the write at most once. */
    public Operation write(long number) {
        long startNanos = System.nanoTime();
        return writeOperation(startNanos, number, 1, sendStatement(insertBody(number, 0)));
    }

    /**
     * Inserts one row with a request id, retrying until the write is acknowledged, the key is
     * refused or the retry limit has passed.
     */
    public Operation writeWithRequestId(long number, Duration retryLimit) {
        long startNanos = System.nanoTime();
        ObjectNode body = insertBody(number, 0).put("requestId", "write-" + number);
        Verdict failureVerdict = Verdict.NOT_RUN;
        while (true) {
            RequestResult result = sendStatement(body);
            boolean expired =
                    System.nanoTime() - startNanos > retryLimit.toNanos()
                            || Thread.currentThread().isInterrupted();
            if (result.verdict() != Verdict.NOT_RUN) {
                failureVerdict = Verdict.MAY_HAVE_RUN;
            }
            if (result.isSuccess() || expired || result.status() == 401) {
                Verdict verdict = result.isSuccess() ? Verdict.RAN : failureVerdict;
                return writeOperation(
                        startNanos,
                        number,
                        1,
                        new RequestResult(
                                result.status(), verdict, result.body(), result.detail()));
            }
            pauseBeforeRetry();
            switchHost();
        }
    }

    /** Inserts rows in one transaction. */
    public Operation transaction(long number, int parts) {
        long startNanos = System.nanoTime();
        String transactionsPath = "/v1/services/" + mService + "/transactions";
        RequestResult last = send(transactionsPath, Json.object());
        if (!last.isSuccess()) {
            return writeOperation(startNanos, number, parts, last);
        }
        String path = transactionsPath + "/" + last.body().path("transaction").asText();
        long term = 0;
        for (int part = 0; part < parts; part++) {
            last = send(path + "/statements", insertBody(number, part));
            if (!last.isSuccess()) {
                send(path + "/rollback", Json.object());
                return writeOperation(startNanos, number, parts, asNotRun(last));
            }
            term = last.term();
        }
        Operation commit =
                writeOperation(startNanos, number, parts, send(path + "/commit", Json.object()));
        return new Operation(
                mSession,
                startNanos,
                commit.endNanos(),
                commit.verdict(),
                number,
                parts,
                List.of(),
                term,
                commit.detail());
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
        long startNanos = System.nanoTime();
        RequestResult result = sendStatement(statementBody(sql, "read"));
        List<Row> rows =
                StreamSupport.stream(result.body().path("rows").spliterator(), false)
                        .map(r -> new Row(r.get(0).asLong(), r.get(1).asInt()))
                        .toList();
        return new Operation(
                mSession,
                startNanos,
                System.nanoTime(),
                result.verdict(),
                0,
                0,
                rows,
                result.term(),
                result.detail());
    }

    /** Returns a result as not run: without a sent commit, a transaction cannot take effect. */
    private static RequestResult asNotRun(RequestResult result) {
        return new RequestResult(result.status(), Verdict.NOT_RUN, result.body(), result.detail());
    }

    private Operation writeOperation(
            long startNanos, long number, int parts, RequestResult result) {
        return new Operation(
                mSession,
                startNanos,
                System.nanoTime(),
                result.verdict(),
                number,
                parts,
                List.of(),
                result.term(),
                result.detail());
    }

    private ObjectNode insertBody(long number, int part) {
        ObjectNode body = statementBody(INSERT, "write");
        body.putArray("parameters").add(number).add(part).add(mSession);
        return body;
    }

    private static ObjectNode statementBody(String sql, String access) {
        return Json.object().put("sql", sql).put("access", access);
    }

    private RequestResult sendStatement(JsonNode body) {
        return send("/v1/services/" + mService + "/statements", body);
    }

    /** Sends a request to the current host, or to the next one that accepts a connection. */
    private RequestResult send(String path, JsonNode body) {
        return IntStream.range(0, mEntryUrls.size())
                .mapToObj(n -> sendToCurrentHost(path, body))
                .filter(Optional::isPresent)
                .flatMap(Optional::stream)
                .findFirst()
                .orElseGet(
                        () ->
                                new RequestResult(
                                        0,
                                        Verdict.NOT_RUN,
                                        Json.object(),
                                        "every entry host refused the connection or was skipped"));
    }

    /**
     * Sends a request to the current host. If the host is skipped or refuses the connection,
     * switches to the next host and returns empty; the request was not sent then.
     */
    private Optional<RequestResult> sendToCurrentHost(String path, JsonNode body) {
        URI host = mEntryUrls.get(Math.floorMod(mHostIndex, mEntryUrls.size()));
        Long backoffUntil = mBackoffUntil.get(host);
        if (backoffUntil != null && backoffUntil - System.nanoTime() > 0) {
            switchHost();
            return Optional.empty();
        }
        HttpRequest.Builder request =
                HttpRequest.newBuilder(host.resolve(path))
                        .timeout(mResponseTimeout)
                        .header("Authorization", "Bearer " + mKey)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(Json.write(body)));
        mSessionToken.ifPresent(t -> request.header("Crocusturn-Session", t));
        try {
            HttpResponse<byte[]> response =
                    mClient.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            response.headers().firstValue("crocusturn-session").ifPresent(this::setSessionToken);
            return Optional.of(toResult(host, response.statusCode(), response.body()));
        } catch (ConnectException | java.net.http.HttpConnectTimeoutException e) {
            switchHost();
            return Optional.empty();
        } catch (IOException e) {
            if (e instanceof java.net.http.HttpTimeoutException) {
                mBackoffUntil.put(host, System.nanoTime() + HOST_BACKOFF_NANOS);
            }
            switchHost();
            return Optional.of(
                    new RequestResult(0, Verdict.MAY_HAVE_RUN, Json.object(), host + ": " + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.of(
                    new RequestResult(0, Verdict.MAY_HAVE_RUN, Json.object(), "interrupted"));
        }
    }

    private void setSessionToken(String token) {
        mSessionToken = Optional.of(token);
    }

    /** Limits the rate of retries, because the callers are meant to be a light load. */
    private static void pauseBeforeRetry() {
        try {
            new CountDownLatch(1).await(RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static RequestResult toResult(URI host, int status, byte[] bytes) {
        JsonNode body;
        try {
            body = Json.read(bytes);
        } catch (CrocusturnException e) {
            body = Json.object();
        }
        if (status / 100 == 2) {
            return new RequestResult(status, Verdict.RAN, body, "");
        }
        // The verdict "ran" in an error response does not guarantee that the effect is durable.
        Verdict verdict =
                body.path("verdict").asText().equals(Verdict.NOT_RUN.wireName())
                        ? Verdict.NOT_RUN
                        : Verdict.MAY_HAVE_RUN;
        return new RequestResult(status, verdict, body, host + ": " + status + " " + body);
    }
}
