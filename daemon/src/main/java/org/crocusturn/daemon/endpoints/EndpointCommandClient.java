package org.crocusturn.daemon.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.endpoints.EndpointCommandResult;
import org.crocusturn.core.endpoints.RequestId;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpClientConnection;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;

/** Sends commands to the status ports of endpoints. Thread-safe; never blocks. */
public final class EndpointCommandClient {
    private static final Logger LOG = LogManager.getLogger(EndpointCommandClient.class);

    private static final int OK = 200;

    private final NetThreads mThreads;
    private final Duration mTimeout;
    private final RequestIds mRequestIds = new RequestIds();

    private EndpointCommandClient(NetThreads threads, Duration timeout) {
        mThreads = threads;
        mTimeout = timeout;
    }

    /**
     * Creates a client.
     *
     * @param threads I/O threads
     * @param timeout timeout for connecting, and again for the answer
     */
    public static EndpointCommandClient create(NetThreads threads, Duration timeout) {
        return new EndpointCommandClient(
                Objects.requireNonNull(threads, "threads"),
                Objects.requireNonNull(timeout, "timeout"));
    }

    /**
     * Sends a command.
     *
     * @param statusAddress IP address and port of the endpoint's status protocol
     * @param command the command
     * @return the result, without a status if the command failed or got no answer; the future never
     *     fails
     */
    public CompletableFuture<EndpointCommandResult> send(
            String statusAddress, EndpointCommand command) {
        RequestId request = mRequestIds.next();
        return CompletableFuture.completedFuture(statusAddress)
                .thenApply(Addresses::parse)
                .thenCompose(a -> HttpClientConnection.connect(mThreads, a, mTimeout))
                .thenCompose(connection -> send(connection, request, command))
                .thenApply(response -> status(request, command, response))
                .exceptionally(
                        error -> {
                            LOG.warn("endpoints: command {} failed: {}", command, error.toString());
                            return Optional.empty();
                        })
                .thenApply(status -> new EndpointCommandResult(command, status));
    }

    private CompletableFuture<HttpResponse> send(
            HttpClientConnection connection, RequestId request, EndpointCommand command) {
        return connection
                .send(encode(request, command), mTimeout)
                .whenComplete((response, error) -> connection.close());
    }

    private static Optional<CopyStatus> status(
            RequestId request, EndpointCommand command, HttpResponse response) {
        JsonNode body = Json.read(response.body());
        EndpointJson.requireAnswer(request, body);
        if (response.status() != OK) {
            LOG.warn(
                    "endpoints: command {} was refused with status {}", command, response.status());
            return Optional.empty();
        }
        return Optional.of(EndpointJson.status(body));
    }

    private static HttpRequest encode(RequestId request, EndpointCommand command) {
        if (command instanceof EndpointCommand.Fence fence) {
            return DatabaseCodec.post("/v1/fence", body(request, fence, fence.term()));
        }
        if (command instanceof EndpointCommand.Promote promote) {
            return DatabaseCodec.post("/v1/promote", body(request, promote, promote.term()));
        }
        EndpointCommand.Follow follow = (EndpointCommand.Follow) command;
        return DatabaseCodec.post(
                "/v1/follow",
                body(request, follow, follow.term()).put("primary", follow.primaryStatusAddress()));
    }

    private static ObjectNode body(RequestId request, EndpointCommand command, long term) {
        return Json.object()
                .put("request", request.value())
                .put("endpoint", command.endpoint().value())
                .put("database", command.database())
                .put("term", term);
    }
}
