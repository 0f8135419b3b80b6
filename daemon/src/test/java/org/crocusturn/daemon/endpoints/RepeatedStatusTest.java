package org.crocusturn.daemon.endpoints;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.Role;
import org.crocusturn.core.endpoints.CopyStatus;
import org.crocusturn.core.endpoints.EndpointCommand;
import org.crocusturn.core.endpoints.EndpointObservation;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an answer of a status port that is taken for the answer to a later request. */
class RepeatedStatusTest {
    private static final EndpointId ENDPOINT = EndpointId.of("db-1");
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int POLLS = 12;

    /**
     * An answer of the status port that comes again before the answer to a later poll. The position
     * in each answer is the number of its poll, so that a repeated one shows.
     */
    @ParameterizedTest
    @CsvSource({"1, 1, 200", "1, 2, 200", "2, 1, 200", "3, 3, 200", "1, 1, 409"})
    void usesEachStatusOnce(int pollsBefore, int repetitions, int status) throws Exception {
        BlockingQueue<EndpointObservation> observations = new LinkedBlockingQueue<>();
        try (RepeatingEndpoint endpoint =
                        new RepeatingEndpoint(
                                request -> answers(request, pollsBefore, repetitions, status));
                NetThreads threads = NetThreads.start("test", 1);
                StatusMonitor monitor =
                        StatusMonitor.start(
                                threads, TIMEOUT, Duration.ofMillis(1), observations::add)) {
            assertTrue(monitor.watch(ENDPOINT, endpoint.address()));
            List<Long> positions = new ArrayList<>();
            while (positions.stream().noneMatch(index -> index >= POLLS)) {
                EndpointObservation observation =
                        observations.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
                assertTrue(observation != null, () -> "positions " + positions);
                if (observation instanceof EndpointObservation.StatusReceived received) {
                    positions.add(received.copies().get(0).position().index());
                }
            }
            assertEquals(positions.stream().distinct().sorted().toList(), positions);
        }
    }

    static Stream<Arguments> commands() {
        return Stream.of(
                        new EndpointCommand.Fence(ENDPOINT, "visits", 2),
                        new EndpointCommand.Promote(ENDPOINT, "visits", 2),
                        new EndpointCommand.Follow(ENDPOINT, "visits", 2, "127.0.0.1:1"))
                .flatMap(
                        command ->
                                Stream.of(
                                        Arguments.of(command, "own", true),
                                        Arguments.of(command, "other", false),
                                        Arguments.of(command, "", false)));
    }

    /** Guards against a promotion that rests on the answer to another command. */
    @ParameterizedTest
    @MethodSource("commands")
    void usesOnlyTheAnswerToTheCommand(EndpointCommand command, String named, boolean used)
            throws Exception {
        try (RepeatingEndpoint endpoint =
                        new RepeatingEndpoint(
                                request -> List.of(commandAnswer(request, command, named)));
                NetThreads threads = NetThreads.start("test", 1)) {
            Optional<CopyStatus> status =
                    EndpointCommandClient.create(threads, TIMEOUT)
                            .send(endpoint.address(), command)
                            .get(10, TimeUnit.SECONDS)
                            .status();
            assertEquals(used, status.isPresent());
        }
    }

    private static byte[] commandAnswer(
            RepeatingEndpoint.Received request, EndpointCommand command, String named) {
        Optional<String> id =
                switch (named) {
                    case "own" -> request.id();
                    case "" -> Optional.empty();
                    default -> Optional.of(named);
                };
        return RepeatingEndpoint.answer(
                200,
                new RepeatingEndpoint.Received(1, request.path(), id),
                status(command.database(), 1));
    }

    private static List<byte[]> answers(
            RepeatingEndpoint.Received request, int pollsBefore, int repetitions, int status) {
        byte[] own = RepeatingEndpoint.answer(200, request, version(request.number()));
        boolean repeats = request.number() % (pollsBefore + 1) == 0;
        RepeatingEndpoint.Received earlier =
                new RepeatingEndpoint.Received(
                        request.number() - 1, request.path(), request.id().map(id -> id + "0"));
        return Stream.concat(
                        Stream.generate(
                                        () ->
                                                RepeatingEndpoint.answer(
                                                        status, earlier, version(earlier.number())))
                                .limit(repeats ? repetitions : 0),
                        Stream.of(own))
                .toList();
    }

    private static ObjectNode version(long number) {
        ObjectNode body = Json.object().put("version", number);
        body.putArray("copies").add(status("visits", number));
        return body;
    }

    private static ObjectNode status(String database, long index) {
        return EndpointJson.status(
                new CopyStatus(database, Role.REPLICA, 2, LogPosition.of(1, index), 0));
    }
}
