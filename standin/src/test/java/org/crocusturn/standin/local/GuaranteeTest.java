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

/**
 * Checks the guarantees for workspaces, endpoints and data centres on a deployment in one process.
 */
class GuaranteeTest {
    private static final long SEED = 20_261_206;
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(3);
    private static final RateLimit HIGH_RATE = new RateLimit(500, 1_000);
    private static final RateLimit LOW_RATE = new RateLimit(40, 20);
    private static final String INSERT_BODY =
            "{\"sql\":\"INSERT INTO visit VALUES (DEFAULT)\",\"access\":\"write\"}";
    private static final String CREATE_TABLE_BODY =
            "{\"sql\":\"CREATE TABLE visit (id INT AUTO_INCREMENT)\",\"access\":\"write\"}";

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static Configuration configuration(RateLimit secondRate) {
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
                                WorkspaceId.of("first"),
                                HIGH_RATE,
                                Set.of("db", "other"),
                                Map.of()),
                        new Workspace(
                                WorkspaceId.of("second"), secondRate, Set.of("db"), Map.of())),
                services,
                List.of());
    }

    private static LocalDeployment start(RateLimit secondRate, Path folder) {
        return LocalDeployment.start(
                new LocalDeploymentSettings(
                        configuration(secondRate), 3, 3, folder, 0, Behaviour.NORMAL));
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

    /** Guards against a request that runs for a workspace other than that of its key. */
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
        try (LocalDeployment deployment = start(HIGH_RATE, folder)) {
            URI host = deployment.entryUrls().get(0);
            String firstKey = deployment.keys().get("first");
            HttpResponse<String> created = post(host, "db/statements", firstKey, CREATE_TABLE_BODY);
            assertEquals(200, created.statusCode(), created.body());
            String sessionToken = created.headers().firstValue("crocusturn-session").orElseThrow();
            String transactionBody = post(host, "db/transactions", firstKey, "{}").body();
            String transaction =
                    transactionBody.replaceAll(".*\"transaction\":\"([^\"]+)\".*", "$1");
            String key = deployment.keys().getOrDefault(workspace, workspace);
            HttpResponse<String> response =
                    post(
                            deployment.entryUrls().get(1),
                            path.replace("/T/", "/" + transaction + "/"),
                            key,
                            token.isEmpty() ? Optional.empty() : Optional.of(sessionToken),
                            path.endsWith("commit") ? "{}" : INSERT_BODY);
            assertEquals(status, response.statusCode(), response.body());
            assertTrue(response.body().contains("\"verdict\":\"not_run\""), response.body());
            long executedInserts =
                    deployment.databases().stream()
                            .mapToLong(
                                    d ->
                                            d.counters()
                                                    .executionCount(
                                                            "INSERT INTO visit VALUES (DEFAULT)"))
                            .sum();
            assertEquals(0, executedInserts, "statements that a database executed");
        }
    }

    /** Guards against an entry host that passes keys on to endpoints or control hosts. */
    @ParameterizedTest
    @ValueSource(ints = {30})
    void endpointsAndStateHoldNoKey(int requests, @TempDir Path folder) {
        try (LocalDeployment deployment = start(HIGH_RATE, folder)) {
            String key = deployment.keys().get("first");
            post(deployment.entryUrls().get(0), "db/statements", key, CREATE_TABLE_BODY);
            IntStream.range(0, requests)
                    .mapToObj(n -> deployment.entryUrls().get(n % 3))
                    .forEach(host -> post(host, "db/statements", key, INSERT_BODY));
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

    /**
     * Guards against admitting more requests than rate and burst allow in any interval, also across
     * a change of the control leader.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void neverExceedsRateAndBurst(boolean terminateLeader, @TempDir Path folder) {
        try (LocalDeployment deployment = start(LOW_RATE, folder)) {
            String key = deployment.keys().get("second");
            post(deployment.entryUrls().get(0), "db/statements", key, CREATE_TABLE_BODY);
            List<long[]> admitted = Collections.synchronizedList(new ArrayList<>());
            long endNanos = System.nanoTime() + Duration.ofSeconds(5).toNanos();
            List<CompletableFuture<Void>> callers =
                    IntStream.range(0, 24)
                            .mapToObj(n -> deployment.entryUrls().get(n % 3))
                            .map(
                                    host ->
                                            CompletableFuture.runAsync(
                                                    () -> sendReads(host, key, endNanos, admitted),
                                                    java.util.concurrent.Executors
                                                            .newSingleThreadExecutor()))
                            .toList();
            if (terminateLeader) {
                LocalDeployment.await(Duration.ofSeconds(2), () -> admitted.size() > 60);
                deployment.controlHosts().stream()
                        .filter(ControlDaemon::leads)
                        .findFirst()
                        .ifPresent(deployment::terminate);
            }
            callers.forEach(CompletableFuture::join);
            assertTrue(admitted.size() > 60, "too few admitted requests: " + admitted.size());
            assertEquals(List.of(), findRateViolations(admitted));
        }
    }

    /** Guards against a rate check that accepts too many requests or rejects allowed ones. */
    @ParameterizedTest
    @CsvSource({"20, 0, false", "21, 0, true", "60, 1000, false", "61, 990, true"})
    void findsRequestsAboveTheRate(int count, long millis, boolean violated) {
        List<long[]> requests =
                IntStream.range(0, count)
                        .mapToObj(n -> new long[] {0, millis * 1_000_000})
                        .toList();
        assertEquals(violated, !findRateViolations(requests).isEmpty());
    }

    private void sendReads(URI host, String key, long endNanos, List<long[]> admitted) {
        String read = "{\"sql\":\"SELECT 1\",\"access\":\"read\"}";
        while (System.nanoTime() - endNanos < 0) {
            long startNanos = System.nanoTime();
            if (post(host, "db/statements", key, read).statusCode() == 200) {
                admitted.add(new long[] {startNanos, System.nanoTime()});
            }
        }
    }

    /**
     * Returns the intervals that contain more complete requests than rate and burst allow.
     *
     * @param requests pairs of start and end on the monotonic clock, in nanoseconds
     */
    private static List<String> findRateViolations(List<long[]> requests) {
        List<String> violations = new ArrayList<>();
        for (long[] first : requests) {
            long[] endNanos =
                    requests.stream()
                            .filter(r -> r[0] >= first[0])
                            .mapToLong(r -> r[1])
                            .sorted()
                            .toArray();
            for (int n = 0; n < endNanos.length; n++) {
                long windowNanos = endNanos[n] - first[0];
                double allowed =
                        SlidingWindow.allowedCount(
                                LOW_RATE.perSecond(), LOW_RATE.burst(), windowNanos);
                if (n + 1 > allowed) {
                    violations.add(
                            (n + 1) + " requests in " + windowNanos + " ns, allowed " + allowed);
                }
            }
        }
        return violations;
    }

    /**
     * Guards against new work for a leaving endpoint and against requests that its leaving fails.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leavingEndpointGetsNoNewWork(boolean primary, @TempDir Path folder) {
        try (DeploymentUnderLoad system = DeploymentUnderLoad.start(folder, SEED)) {
            StandInDatabase leaving =
                    primary
                            ? system.primary()
                            : system.deployment().databases().stream()
                                    .filter(d -> d != system.primary())
                                    .findFirst()
                                    .orElseThrow();
            long startNanos = System.nanoTime();
            leaving.leave(DeploymentUnderLoad.TIMEOUT);
            assertTrue(
                    LocalDeployment.await(IDLE_LIMIT, () -> leaving.sessionCount("visits") == 0),
                    () -> leaving.sessionCount("visits") + " sessions are still open");
            long idleNanos = System.nanoTime() - startNanos;
            system.awaitMoreWrites(60);
            assertEquals(
                    0,
                    leaving.sessionCount("visits"),
                    "sessions opened after the endpoint became idle");
            assertEquals(List.of(), DeploymentUnderLoad.unacknowledged(system.stopAndCheck()));
            System.out.printf(
                    "proof: ENDPOINT_LEFT primary %s, idle after %d ms%n",
                    primary, idleNanos / 1_000_000);
        }
    }

    /** Guards against new work for endpoints in a drained data centre. */
    @ParameterizedTest
    @ValueSource(strings = {"abdali", "marka", "tlaa-ali"})
    void drainedDataCentreGetsNoNewWork(String dataCentre, @TempDir Path folder) {
        try (DeploymentUnderLoad system = DeploymentUnderLoad.start(folder, SEED)) {
            List<StandInDatabase> drainedDatabases =
                    system.deployment().databases().stream()
                            .filter(d -> d.record().dataCentre().value().equals(dataCentre))
                            .toList();
            long startNanos = System.nanoTime();
            system.awaitDataCentre(dataCentre, "drain", true);
            assertTrue(
                    LocalDeployment.await(
                            IDLE_LIMIT,
                            () ->
                                    drainedDatabases.stream()
                                            .allMatch(d -> d.sessionCount("visits") == 0)),
                    "sessions are still open in " + dataCentre);
            long idleNanos = System.nanoTime() - startNanos;
            assertTrue(
                    idleNanos <= IDLE_LIMIT.toNanos(),
                    () -> "the data centre became idle after " + idleNanos + " ns");
            system.awaitMoreWrites(40);
            assertTrue(drainedDatabases.stream().allMatch(d -> d.sessionCount("visits") == 0));
            assertEquals(List.of(), DeploymentUnderLoad.unacknowledged(system.stopAndCheck()));
        }
    }
}
