package org.crocusturn.standin.local;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.daemon.ControlDaemon;
import org.crocusturn.standin.database.Behaviour;
import org.crocusturn.standin.database.StandInDatabase;
import org.crocusturn.standin.measure.SlidingWindow;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks promises to workspaces and about endpoints on a whole deployment. */
class GuaranteeTest {
    private static final long SEED = 20_261_206;
    private static final Duration PROMISED = Duration.ofSeconds(3);
    private static final RateLimit AMPLE = new RateLimit(500, 1_000);
    private static final RateLimit NARROW = new RateLimit(40, 20);
    private static final String INSERT =
            "{\"sql\":\"INSERT INTO visit VALUES (DEFAULT)\",\"access\":\"write\"}";
    private static final String CREATE =
            "{\"sql\":\"CREATE TABLE visit (id INT AUTO_INCREMENT)\",\"access\":\"write\"}";

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static Configuration configuration(RateLimit second) {
        List<Service> services =
                Stream.of("db", "other")
                        .map(
                                name ->
                                        new Service(
                                                name,
                                                List.of("one"),
                                                3,
                                                4,
                                                32,
                                                AcknowledgeMode.DURABLE,
                                                false))
                        .toList();
        return new Configuration(
                1,
                Stream.of("north", "south", "west").map(DataCentreId::of).toList(),
                List.of(
                        new Workspace(
                                WorkspaceId.of("first"), AMPLE, Set.of("db", "other"), Map.of()),
                        new Workspace(WorkspaceId.of("second"), second, Set.of("db"), Map.of())),
                services,
                List.of());
    }

    private static LocalDeployment start(RateLimit second, Path folder) {
        return LocalDeployment.start(
                new LocalPlan(configuration(second), 3, 3, folder, 0, Behaviour.PROMPT));
    }

    private HttpResponse<String> post(
            URI host, String path, String key, Optional<String> token, String body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(host.resolve("/v1/services/" + path))
                        .timeout(Duration.ofSeconds(20))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        token.ifPresent(t -> request.header("Crocusturn-Session", t));
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        try {
            return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private HttpResponse<String> post(URI host, String path, String key, String body) {
        return post(host, path, key, Optional.empty(), body);
    }

    /** Guards against a request that runs for another workspace than that of its key. */
    @ParameterizedTest
    @CsvSource({
        "second, db/transactions/T/statements, '', 403",
        "second, db/transactions/T/commit, '', 403",
        "second, other/statements, '', 403",
        "second, db/statements, token, 400",
        "unknown, db/statements, '', 401",
        "'', db/statements, '', 401"
    })
    void runsOnlyForTheWorkspaceOfTheKey(
            String workspace, String path, String token, int status, @TempDir Path folder) {
        try (LocalDeployment deployment = start(AMPLE, folder)) {
            URI host = deployment.entries().get(0);
            String first = deployment.keys().get("first");
            HttpResponse<String> made = post(host, "db/statements", first, CREATE);
            assertEquals(200, made.statusCode(), made.body());
            String session = made.headers().firstValue("crocusturn-session").orElseThrow();
            String begun = post(host, "db/transactions", first, "{}").body();
            String transaction = begun.replaceAll(".*\"transaction\":\"([^\"]+)\".*", "$1");
            String key = deployment.keys().getOrDefault(workspace, workspace);
            HttpResponse<String> answer =
                    post(
                            deployment.entries().get(1),
                            path.replace("/T/", "/" + transaction + "/"),
                            key,
                            token.isEmpty() ? Optional.empty() : Optional.of(session),
                            path.endsWith("commit") ? "{}" : INSERT);
            assertEquals(status, answer.statusCode(), answer.body());
            assertTrue(answer.body().contains("\"verdict\":\"not_run\""), answer.body());
            long ran =
                    deployment.databases().stream()
                            .mapToLong(d -> d.counters().ran("INSERT INTO visit VALUES (DEFAULT)"))
                            .sum();
            assertEquals(0, ran, "no statement reached a database");
        }
    }

    /** Guards against a key that leaves the entry host. */
    @ParameterizedTest
    @ValueSource(ints = {30})
    void endpointsAndStateHoldNoKey(int requests, @TempDir Path folder) {
        try (LocalDeployment deployment = start(AMPLE, folder)) {
            String key = deployment.keys().get("first");
            post(deployment.entries().get(0), "db/statements", key, CREATE);
            IntStream.range(0, requests)
                    .mapToObj(n -> deployment.entries().get(n % 3))
                    .forEach(host -> post(host, "db/statements", key, INSERT));
            for (StandInDatabase database : deployment.databases()) {
                assertFalse(database.counters().headerNames().contains("authorization"));
                assertFalse(
                        database.counters().fieldNames().stream()
                                .anyMatch(name -> name.toLowerCase().contains("key")));
            }
            for (ControlDaemon control : deployment.controlHosts()) {
                assertFalse(control.state().toString().contains(key));
            }
        }
    }

    /** Guards against more than rate and burst in any interval, also over a change of leader. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void neverExceedsRateAndBurst(boolean leaderEnds, @TempDir Path folder) {
        try (LocalDeployment deployment = start(NARROW, folder)) {
            String key = deployment.keys().get("second");
            post(deployment.entries().get(0), "db/statements", key, CREATE);
            List<long[]> admitted = Collections.synchronizedList(new ArrayList<>());
            long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
            List<CompletableFuture<Void>> callers =
                    IntStream.range(0, 24)
                            .mapToObj(n -> deployment.entries().get(n % 3))
                            .map(
                                    host ->
                                            CompletableFuture.runAsync(
                                                    () -> flood(host, key, end, admitted),
                                                    java.util.concurrent.Executors
                                                            .newSingleThreadExecutor()))
                            .toList();
            if (leaderEnds) {
                LocalDeployment.await(Duration.ofSeconds(2), () -> admitted.size() > 60);
                deployment.controlHosts().stream()
                        .filter(ControlDaemon::leads)
                        .findFirst()
                        .ifPresent(deployment::end);
            }
            callers.forEach(CompletableFuture::join);
            assertTrue(admitted.size() > 60, "few requests: " + admitted.size());
            assertEquals(List.of(), tooMany(admitted));
        }
    }

    /** Guards against a check of the rate that cannot fail. */
    @ParameterizedTest
    @CsvSource({"20, 0, false", "21, 0, true", "60, 1000, false", "61, 990, true"})
    void findsRequestsAboveTheRate(int count, long millis, boolean found) {
        List<long[]> requests =
                IntStream.range(0, count)
                        .mapToObj(n -> new long[] {0, millis * 1_000_000})
                        .toList();
        assertEquals(found, !tooMany(requests).isEmpty());
    }

    private void flood(URI host, String key, long end, List<long[]> admitted) {
        String read = "{\"sql\":\"SELECT 1\",\"access\":\"read\"}";
        while (System.nanoTime() - end < 0) {
            long start = System.nanoTime();
            if (post(host, "db/statements", key, read).statusCode() == 200) {
                admitted.add(new long[] {start, System.nanoTime()});
            }
        }
    }

    /** Returns the intervals that contain more whole requests than rate and burst allow. */
    private static List<String> tooMany(List<long[]> requests) {
        List<String> found = new ArrayList<>();
        for (long[] first : requests) {
            long[] ends =
                    requests.stream()
                            .filter(r -> r[0] >= first[0])
                            .mapToLong(r -> r[1])
                            .sorted()
                            .toArray();
            for (int n = 0; n < ends.length; n++) {
                long window = ends[n] - first[0];
                double allowed =
                        SlidingWindow.allowedCount(NARROW.perSecond(), NARROW.burst(), window);
                if (n + 1 > allowed) {
                    found.add((n + 1) + " requests in " + window + " ns, allowed " + allowed);
                }
            }
        }
        return found;
    }

    /** Guards against work for an endpoint that leaves, and against requests cut by its leaving. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leavingEndpointGetsNoNewWork(boolean primary, @TempDir Path folder) {
        try (Proof proof = Proof.start(folder, SEED)) {
            StandInDatabase leaving =
                    primary
                            ? proof.primary()
                            : proof.deployment().databases().stream()
                                    .filter(d -> d != proof.primary())
                                    .findFirst()
                                    .orElseThrow();
            long at = System.nanoTime();
            leaving.leave(Proof.LIMIT);
            assertTrue(
                    LocalDeployment.await(PROMISED, () -> leaving.sessions("visits") == 0),
                    () -> leaving.sessions("visits") + " sessions are left");
            long left = System.nanoTime() - at;
            proof.awaitMoreWrites(60);
            assertEquals(0, leaving.sessions("visits"), "it got work again");
            assertEquals(List.of(), Proof.failed(proof.check()));
            System.out.printf(
                    "proof: ENDPOINT_LEFT primary %s, idle after %d ms%n",
                    primary, left / 1_000_000);
        }
    }

    /** Guards against work for a data centre that operators took out. */
    @ParameterizedTest
    @ValueSource(strings = {"abdali", "marka", "tlaa-ali"})
    void drainedDataCentreGetsNoNewWork(String centre, @TempDir Path folder) {
        try (Proof proof = Proof.start(folder, SEED)) {
            List<StandInDatabase> drained =
                    proof.deployment().databases().stream()
                            .filter(d -> d.record().dataCentre().value().equals(centre))
                            .toList();
            long at = System.nanoTime();
            proof.awaitDataCentre(centre, "drain", true);
            assertTrue(
                    LocalDeployment.await(
                            PROMISED,
                            () -> drained.stream().allMatch(d -> d.sessions("visits") == 0)),
                    "sessions are left in " + centre);
            long left = System.nanoTime() - at;
            assertTrue(left <= PROMISED.toNanos(), () -> "it took " + left + " ns");
            proof.awaitMoreWrites(40);
            assertTrue(drained.stream().allMatch(d -> d.sessions("visits") == 0));
            assertEquals(List.of(), Proof.failed(proof.check()));
        }
    }
}
