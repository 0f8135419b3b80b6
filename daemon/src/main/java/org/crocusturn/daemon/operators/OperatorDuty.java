package org.crocusturn.daemon.operators;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.Names;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.ControlCommand.ApplyConfiguration;
import org.crocusturn.core.operators.ControlCommand.IssueKey;
import org.crocusturn.core.operators.ControlCommand.OperatorCommand;
import org.crocusturn.core.operators.ControlCommand.SetDataCentreDrained;
import org.crocusturn.core.operators.ControlCommand.WithdrawKey;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.ring.DutyHandler;
import org.crocusturn.core.ring.ThreadFailures;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.HttpExchange;
import org.crocusturn.daemon.net.HttpRequest;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.settings.FaultsException;

/** Decodes operator requests, proposes their changes and sends the answers. */
public final class OperatorDuty implements DutyHandler<OperatorEvent> {
    private static final Logger LOG = LogManager.getLogger(OperatorDuty.class);

    /** Header with the change id; a retry with the same id gets the original answer. */
    static final String CHANGE_ID_HEADER = "crocusturn-change-id";

    private static final long TIMER_INTERVAL_NANOS = 1_000_000_000L;

    private final ControlAccess mControl;
    private final Predicate<OperatorEvent> mOwnQueue;

    private OperatorDuty(ControlAccess control, Predicate<OperatorEvent> ownQueue) {
        mControl = control;
        mOwnQueue = ownQueue;
    }

    /**
     * Creates the handler.
     *
     * @param control control host that decides on changes
     * @param ownQueue adds an event to the ring of this duty; false if the ring is full
     */
    public static OperatorDuty create(ControlAccess control, Predicate<OperatorEvent> ownQueue) {
        return new OperatorDuty(
                Objects.requireNonNull(control, "control"),
                Objects.requireNonNull(ownQueue, "ownQueue"));
    }

    @Override
    public void onEvent(OperatorEvent event) {
        if (event instanceof OperatorEvent.RequestReceived received) {
            handle(received.exchange());
        } else if (event instanceof OperatorEvent.ChangeDecided decided) {
            decided.exchange().respond(OperatorResponses.outcome(decided.outcome()));
        } else if (event instanceof OperatorEvent.StatusRetrieved retrieved) {
            retrieved.exchange().respond(retrieved.encoder().apply(retrieved.status()));
        }
    }

    @Override
    public long onTimer(long nowNanos) {
        return nowNanos + TIMER_INTERVAL_NANOS;
    }

    private void handle(HttpExchange exchange) {
        try {
            route(exchange);
        } catch (FaultsException e) {
            exchange.respond(OperatorResponses.faults(e.faults()));
        } catch (CrocusturnException e) {
            exchange.respond(OperatorResponses.failure(e.failure()));
        } catch (IllegalArgumentException e) {
            exchange.respond(
                    OperatorResponses.failure(
                            Failure.notRun(ErrorCode.MALFORMED_REQUEST, e.getMessage())));
        } catch (RuntimeException | StackOverflowError e) {
            // The duty holds no state, so other requests are not affected.
            LOG.error("operators: failed to handle a request", e);
            exchange.respond(
                    OperatorResponses.failure(
                            Failure.mayHaveRun("this host failed to handle the request")));
        }
    }

    private void route(HttpExchange exchange) {
        HttpRequest request = exchange.request();
        List<String> segments = List.of(request.pathWithoutQuery().substring(1).split("/", -1));
        String route =
                request.method()
                        + " "
                        + String.join("/", segments.subList(0, Math.min(2, segments.size())));
        switch (route) {
            case "GET v1/status" -> status(exchange, OperatorResponses::status);
            case "GET v1/usage" -> status(exchange, OperatorResponses::usage);
            case "POST v1/configuration" ->
                    propose(
                            exchange,
                            new ApplyConfiguration(
                                    changeId(request),
                                    ConfigurationReader.read(
                                            new String(request.body(), StandardCharsets.UTF_8))));
            case "POST v1/keys" -> propose(exchange, issueKey(request));
            case "DELETE v1/keys" ->
                    propose(exchange, new WithdrawKey(changeId(request), segment(segments, 2, 3)));
            case "POST v1/data-centres" -> propose(exchange, setDrained(exchange, segments));
            case "POST v1/members" -> addMember(exchange);
            case "DELETE v1/members" ->
                    respondWhenDecided(
                            exchange,
                            "remove control host " + segment(segments, 2, 3),
                            mControl.removeMember(HostId.of(segment(segments, 2, 3))));
            default ->
                    throw CrocusturnException.notRun(
                            ErrorCode.NOT_FOUND,
                            "no route " + request.method() + " " + request.pathWithoutQuery());
        }
    }

    private void status(HttpExchange exchange, Function<ControlStatus, HttpResponse> encoder) {
        mControl.status()
                .whenComplete(
                        ThreadFailures.guardCompletion(
                                (status, error) -> {
                                    if (error != null
                                            || !mOwnQueue.test(
                                                    new OperatorEvent.StatusRetrieved(
                                                            exchange, status, encoder))) {
                                        exchange.respond(
                                                OperatorResponses.failure(
                                                        Failure.notRun(
                                                                ErrorCode.UNAVAILABLE,
                                                                "the status is not available")));
                                    }
                                }));
    }

    private void addMember(HttpExchange exchange) {
        JsonNode body = Json.read(exchange.request().body());
        HostId host = HostId.of(textField(body, "host"));
        String address = Addresses.format(Addresses.parse(textField(body, "address")));
        respondWhenDecided(exchange, "add control host " + host, mControl.addMember(host, address));
    }

    private static OperatorCommand issueKey(HttpRequest request) {
        JsonNode body = Json.read(request.body());
        String hash = textField(body, "hash");
        if (!hash.matches("[0-9a-f]{64}")) {
            throw CrocusturnException.notRun(
                    ErrorCode.MALFORMED_REQUEST,
                    "hash must be a SHA-256 in 64 lower-case hexadecimal digits");
        }
        String id = Names.check(textField(body, "id"), "key id");
        return new IssueKey(
                changeId(request),
                new KeyRecord(id, hash, WorkspaceId.of(textField(body, "workspace"))));
    }

    private OperatorCommand setDrained(HttpExchange exchange, List<String> segments) {
        String action = segment(segments, 3, 4);
        if (!action.equals("drain") && !action.equals("restore")) {
            throw CrocusturnException.notRun(
                    ErrorCode.NOT_FOUND, "the last segment of the path must be drain or restore");
        }
        DataCentreId dataCentre = DataCentreId.of(segments.get(2));
        return new SetDataCentreDrained(
                changeId(exchange.request()),
                dataCentre,
                action.equals("drain"),
                Optional.of(
                        mControl.precedingDrainOrder(dataCentre, exchange.earliestSentNanos())));
    }

    private void propose(HttpExchange exchange, OperatorCommand command) {
        respondWhenDecided(
                exchange,
                command.getClass().getSimpleName() + " with change id " + command.changeId(),
                mControl.propose(command));
    }

    private void respondWhenDecided(
            HttpExchange exchange, String description, CompletableFuture<ChangeOutcome> outcome) {
        outcome.whenComplete(
                ThreadFailures.guardCompletion(
                        (result, error) -> {
                            ChangeOutcome decided = error == null ? result : unknownOutcome();
                            LOG.info(
                                    "operators: {} {}",
                                    description,
                                    decided.refusal()
                                            .map(f -> "refused: " + f.message())
                                            .orElse("accepted at version " + decided.version()));
                            if (!mOwnQueue.test(
                                    new OperatorEvent.ChangeDecided(exchange, decided))) {
                                exchange.respond(OperatorResponses.outcome(decided));
                            }
                        }));
    }

    private static ChangeOutcome unknownOutcome() {
        return new ChangeOutcome(
                "", 0, Optional.of(Failure.mayHaveRun("the outcome of the change is unknown")));
    }

    private static String changeId(HttpRequest request) {
        String id =
                request.header(CHANGE_ID_HEADER)
                        .orElseThrow(
                                () ->
                                        CrocusturnException.notRun(
                                                ErrorCode.MALFORMED_REQUEST,
                                                "header Crocusturn-Change-Id is required"));
        return Names.check(id, "change id");
    }

    private static String segment(List<String> segments, int index, int size) {
        if (segments.size() != size) {
            throw CrocusturnException.notRun(
                    ErrorCode.NOT_FOUND, "the path must have " + size + " segments");
        }
        return segments.get(index);
    }

    private static String textField(JsonNode body, String field) {
        JsonNode value = body.get(field);
        if (value == null || !value.isTextual()) {
            throw CrocusturnException.notRun(
                    ErrorCode.MALFORMED_REQUEST, "field " + field + " must be a string");
        }
        return value.textValue();
    }
}
