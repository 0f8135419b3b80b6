package org.crocusturn.standin.local;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import org.crocusturn.standin.database.Behaviour;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against entry hosts that stop together and wait for a successor of their leases, which
 * nobody can be. Such a stop took 40 s without any work.
 */
class StopOfAllHostsTest {
    @TempDir private Path mFolder;

    @ParameterizedTest(name = "{0} entry hosts, open transaction: {1}")
    @CsvSource({"1, false, 2", "3, false, 2", "3, true, 12"})
    void endsInTime(int entryHosts, boolean transaction, int maxSeconds) throws Exception {
        LocalDeployment deployment =
                LocalDeployment.start(
                        new LocalDeploymentSettings(
                                DeploymentUnderLoad.CONFIGURATION,
                                3,
                                entryHosts,
                                mFolder,
                                0,
                                Behaviour.NORMAL));
        if (transaction) {
            beginTransaction(deployment);
        }
        long start = System.nanoTime();
        deployment.stop();
        Duration taken = Duration.ofNanos(System.nanoTime() - start);
        assertTrue(taken.toSeconds() < maxSeconds, "the stop took " + taken);
    }

    private static void beginTransaction(LocalDeployment deployment) throws Exception {
        URI url = deployment.entryUrls().get(0).resolve("/v1/services/taftish-db/transactions");
        String key = deployment.keys().values().iterator().next();
        HttpRequest request =
                HttpRequest.newBuilder(url)
                        .header("Authorization", "Bearer " + key)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        HttpResponse<String> response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertTrue(response.statusCode() / 100 == 2, response.body());
    }
}
