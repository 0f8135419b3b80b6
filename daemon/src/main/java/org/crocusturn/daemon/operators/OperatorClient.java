package org.crocusturn.daemon.operators;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Verdict;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.settings.Secret;

/** Sends operator requests to control hosts; the change id makes retries idempotent. */
public final class OperatorClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final String MEMBER_CHANGE_ID = "member";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final List<URI> mControlHosts;
    private final Secret mSecret;
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    private OperatorClient(List<URI> controlHosts, Secret secret) {
        mControlHosts = List.copyOf(controlHosts);
        mSecret = secret;
    }

    /** Creates a client that tries the control hosts in the given order. */
    public static OperatorClient create(List<URI> controlHosts, Secret secret) {
        return new OperatorClient(controlHosts, secret);
    }

    /**
     * Sends a request to the control hosts in turn, each once, until one of them decides it.
     *
     * <p>The next host is tried if a host is unavailable or overloaded or its outcome is unknown.
     *
     * @param method HTTP method
     * @param route absolute path
     * @param changeId id of the change; empty for queries
     * @param body body; may be empty
     * @return JSON body of the successful answer
     * @throws CrocusturnException if the request is refused or its outcome is unknown
     */
    public JsonNode send(String method, String route, Optional<String> changeId, byte[] body) {
        Failure lastFailure =
                Failure.notRun(ErrorCode.UNAVAILABLE, "no control host was specified");
        boolean outcomeUnknown = false;
        for (URI host : mControlHosts) {
            try {
                return sendTo(host, method, route, changeId, body);
            } catch (CrocusturnException e) {
                lastFailure = e.failure();
                boolean tryNext =
                        lastFailure.code() == ErrorCode.UNAVAILABLE
                                || lastFailure.code() == ErrorCode.OVERLOADED
                                || lastFailure.code() == ErrorCode.OUTCOME_UNKNOWN;
                outcomeUnknown |= lastFailure.code() == ErrorCode.OUTCOME_UNKNOWN;
                if (!tryNext) {
                    throw e;
                }
            }
        }
        throw CrocusturnException.of(
                outcomeUnknown && changeId.isPresent()
                        ? Failure.mayHaveRun(lastFailure.message())
                        : lastFailure);
    }

    private JsonNode sendTo(
            URI host, String method, String route, Optional<String> changeId, byte[] body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(host.resolve(route))
                        .timeout(REQUEST_TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        if (!mSecret.isNone()) {
            request.header("Authorization", "Bearer " + mSecret.text());
        }
        changeId.ifPresent(id -> request.header("Crocusturn-Change-Id", id));
        try {
            HttpResponse<byte[]> response =
                    mClient.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            JsonNode json = read(host, response);
            if (response.statusCode() == OK) {
                requireOwn(host, changeId, json);
                return json;
            }
            throw CrocusturnException.of(failure(response.statusCode(), json));
        } catch (java.net.ConnectException e) {
            throw CrocusturnException.notRun(ErrorCode.UNAVAILABLE, "cannot connect to " + host);
        } catch (IOException e) {
            throw CrocusturnException.of(
                    Failure.mayHaveRun("no answer from " + host + " was received"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CrocusturnException.of(Failure.mayHaveRun("the request was interrupted"));
        }
    }

    private static JsonNode read(URI host, HttpResponse<byte[]> response) {
        try {
            return Json.read(response.body());
        } catch (CrocusturnException e) {
            throw CrocusturnException.of(
                    Failure.mayHaveRun("the answer of " + host + " cannot be read"));
        }
    }

    /** Checks that an outcome is that of the change; changes of the members share one id. */
    private static void requireOwn(URI host, Optional<String> changeId, JsonNode json) {
        String named = json.path("changeId").asText();
        boolean other =
                changeId.filter(id -> !named.equals(id) && !named.equals(MEMBER_CHANGE_ID))
                        .isPresent();
        if (other) {
            throw CrocusturnException.of(
                    Failure.mayHaveRun("the answer of " + host + " is that of another change"));
        }
    }

    private static Failure failure(int status, JsonNode json) {
        StringBuilder message = new StringBuilder(json.path("message").asText("refused"));
        json.path("faults")
                .forEach(
                        f ->
                                message.append("\nline ")
                                        .append(f.path("line").asInt())
                                        .append(": ")
                                        .append(f.path("path").asText())
                                        .append(": found ")
                                        .append(f.path("value").asText())
                                        .append(", expected ")
                                        .append(f.path("allowed").asText()));
        if (!json.path("verdict").asText().equals(Verdict.NOT_RUN.wireName())) {
            return Failure.mayHaveRun(message.toString());
        }
        return Failure.notRun(
                status == UNAVAILABLE ? ErrorCode.UNAVAILABLE : code(json), message.toString());
    }

    private static ErrorCode code(JsonNode json) {
        String name = json.path("code").asText();
        return java.util.Arrays.stream(ErrorCode.values())
                .filter(c -> c.wireName().equals(name))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
    }
}
