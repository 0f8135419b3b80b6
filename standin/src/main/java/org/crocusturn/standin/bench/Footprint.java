package org.crocusturn.standin.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.LeaseGrant;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.daemon.EntryDaemon;
import org.crocusturn.daemon.operators.ConfigurationReader;
import org.crocusturn.daemon.wire.PeerMessageCodec;
import org.crocusturn.standin.LocalMain;
import org.crocusturn.standin.database.Behaviour;
import org.crocusturn.standin.local.LocalDeployment;
import org.crocusturn.standin.local.LocalDeploymentSettings;

/**
 * Prints the CPU time, traffic and heap that control uses in deployments of several sizes, idle and
 * under a light load.
 *
 * <p>Traffic is computed, not captured: the rate of reports from their sequence numbers, and their
 * sizes by encoding a report and an update with the leases that each host holds.
 */
final class Footprint {
    private static final int CONTROL_HOSTS = 3;
    private static final List<Integer> ENTRY_HOST_COUNTS = List.of(3, 6, 12);
    private static final long MEASURED_SECONDS = 5;
    private static final long SETTLE_MILLIS = 2_000;
    private static final int REQUESTS_PER_SECOND = 50;

    /**
     * Bytes that a frame adds to a message: 4 of length, 8 of sequence number and 16 of
     * authentication code.
     */
    private static final int FRAME_BYTES = 28;

    private Footprint() {}

    /** Measures each size and prints one line when idle and one under load. */
    static void print(PrintStream out) {
        out.printf(
                "%5s %5s %6s %10s %10s %9s %9s %9s %9s %9s %9s %9s%n",
                "hosts",
                "load",
                "failed",
                "reports/s",
                "bytes/s",
                "link %",
                "groups %",
                "monitor %",
                "entry io %",
                "leader %",
                "consens. %",
                "heap MB");
        ENTRY_HOST_COUNTS.forEach(n -> measureDeployment(out, n));
    }

    private static void measureDeployment(PrintStream out, int entryHosts) {
        try {
            Path folder = Files.createTempDirectory("crocusturn-footprint");
            try (LocalDeployment deployment = LocalDeployment.start(plan(entryHosts, folder))) {
                pause(SETTLE_MILLIS);
                printMeasurement(out, deployment, false);
                printMeasurement(out, deployment, true);
            } finally {
                delete(folder);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static LocalDeploymentSettings plan(int entryHosts, Path folder) throws IOException {
        try (var stream = LocalMain.class.getResourceAsStream("local.yaml")) {
            String text = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return new LocalDeploymentSettings(
                    ConfigurationReader.read(text),
                    CONTROL_HOSTS,
                    entryHosts,
                    folder,
                    0,
                    Behaviour.NORMAL);
        }
    }

    private static void printMeasurement(
            PrintStream out, LocalDeployment deployment, boolean withLoad) {
        Map<String, Long> before = cpuNanosByThreadKind();
        long reports = reportsSent(deployment);
        long start = System.nanoTime();
        int answered = withLoad ? sendLoad(deployment) : stayIdle();
        double seconds = (System.nanoTime() - start) / 1e9;
        Map<String, Long> after = cpuNanosByThreadKind();
        int hosts = deployment.entryHosts().size();
        double rate = (reportsSent(deployment) - reports) / seconds / hosts;
        out.printf(
                "%5d %5.0f %6d %10.2f %10.0f %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f %9.1f%n",
                hosts,
                answered / seconds,
                withLoad ? MEASURED_SECONDS * REQUESTS_PER_SECOND - answered : 0,
                rate,
                rate * meanExchangeBytes(deployment),
                corePercent(before, after, "control-link", seconds) / hosts,
                corePercent(before, after, "groups", seconds) / hosts,
                corePercent(before, after, "status-monitor", seconds) / (hosts + CONTROL_HOSTS),
                corePercent(before, after, "entry-io", seconds) / hosts,
                corePercent(before, after, "leader", seconds),
                corePercent(before, after, "control-consensus", seconds),
                EncodedSizes.usedHeapBytes() / 1e6);
    }

    private static long reportsSent(LocalDeployment deployment) {
        return deployment.entryHosts().stream().mapToLong(e -> e.view().nextSequence()).sum();
    }

    /** Returns the mean size of the frames of a report and its update, in bytes. */
    private static double meanExchangeBytes(LocalDeployment deployment) {
        return deployment.entryHosts().stream()
                .map(EntryDaemon::view)
                .mapToInt(view -> frameBytes(report(view)) + frameBytes(update(view)))
                .average()
                .orElse(0);
    }

    private static int frameBytes(org.crocusturn.core.PeerMessage message) {
        return PeerMessageCodec.encode(message).length + FRAME_BYTES;
    }

    private static EntryReport report(ControlView view) {
        return new EntryReport(
                SyntheticStates.host(1),
                SyntheticStates.INCARNATION,
                SyntheticStates.dataCentre(1),
                "127.0.0.1:40000",
                view.nextSequence(),
                view.state().version(),
                view.leases().entrySet().stream()
                        .map(e -> new HeldLease(e.getKey(), e.getValue().epoch(), 0, false, 0))
                        .toList(),
                placedWorkspaces(view).map(w -> new TokenDemand(w, 20, 1_000)).toList(),
                Set.of(),
                false,
                view.answeredSequence());
    }

    private static ControlUpdate update(ControlView view) {
        return new ControlUpdate(
                view.leaderTerm(),
                view.answeredSequence(),
                view.state().version(),
                new StateUpdate.Unchanged(),
                1_500,
                view.leases().entrySet().stream()
                        .map(
                                e ->
                                        new LeaseGrant(
                                                e.getKey(),
                                                e.getValue().epoch(),
                                                1_000,
                                                e.getValue().acknowledgeTerm(),
                                                false))
                        .toList(),
                placedWorkspaces(view).map(w -> new TokenGrant(w, 1_000, 20, 1_000)).toList());
    }

    private static Stream<org.crocusturn.core.WorkspaceId> placedWorkspaces(ControlView view) {
        ControlState state = view.state();
        return state.placements().keySet().stream()
                .filter(
                        p ->
                                state.groupOf(p.workspace(), p.service())
                                        .filter(view.leases()::containsKey)
                                        .isPresent())
                .map(p -> p.workspace());
    }

    private static int stayIdle() {
        pause(MEASURED_SECONDS * 1_000);
        return 0;
    }

    /** Sends requests at a constant rate and returns the number answered with status 200. */
    private static int sendLoad(LocalDeployment deployment) {
        HttpClient client = HttpClient.newHttpClient();
        String key = deployment.keys().get("field-east");
        int answered = 0;
        long start = System.nanoTime();
        for (int n = 0; n < MEASURED_SECONDS * REQUESTS_PER_SECOND; n++) {
            List<URI> entries = deployment.entryUrls();
            answered += send(client, entries.get(n % entries.size()), key) ? 1 : 0;
            long due = start + (n + 1) * 1_000_000_000L / REQUESTS_PER_SECOND;
            pause(Math.max(0, (due - System.nanoTime()) / 1_000_000));
        }
        return answered;
    }

    private static boolean send(HttpClient client, URI entry, String key) {
        HttpRequest request =
                HttpRequest.newBuilder(entry.resolve("/v1/services/taftish-db/statements"))
                        .timeout(Duration.ofSeconds(5))
                        .header("authorization", "Bearer " + key)
                        .header("content-type", "application/json")
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        "{\"sql\":\"SELECT 1\",\"access\":\"read\"}"))
                        .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the CPU time of all threads in nanoseconds, summed by {@link #threadKind}. */
    private static Map<String, Long> cpuNanosByThreadKind() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Map<String, Long> nanos = new TreeMap<>();
        Arrays.stream(threads.getAllThreadIds())
                .mapToObj(threads::getThreadInfo)
                .filter(java.util.Objects::nonNull)
                .forEach(
                        t ->
                                nanos.merge(
                                        threadKind(t),
                                        Math.max(0, threads.getThreadCpuTime(t.getThreadId())),
                                        Long::sum));
        return nanos;
    }

    private static String threadKind(ThreadInfo thread) {
        String name = thread.getThreadName();
        if (name.equals("control-consensus") || name.equals("control-storage")) {
            return name;
        }
        if (name.contains("-io")) {
            return name.startsWith("entry-") ? "entry-io" : "other-io";
        }
        return name.replaceFirst("^(entry|control)-[0-9]+-", "");
    }

    /** Returns the CPU time of a kind of thread as a percentage of one core. */
    private static double corePercent(
            Map<String, Long> before, Map<String, Long> after, String kind, double seconds) {
        long nanos = after.getOrDefault(kind, 0L) - before.getOrDefault(kind, 0L);
        return 100 * nanos / 1e9 / seconds;
    }

    private static void pause(long millis) {
        try {
            new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
