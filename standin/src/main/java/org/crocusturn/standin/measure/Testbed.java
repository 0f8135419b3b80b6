package org.crocusturn.standin.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.daemon.EntryDaemon;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.operators.ConfigurationReader;
import org.crocusturn.standin.database.Behaviour;
import org.crocusturn.standin.local.LocalDeployment;
import org.crocusturn.standin.local.LocalDeploymentSettings;

/** A running deployment with a client and a test table in each database. */
public final class Testbed implements AutoCloseable {
    private static final int CONTROL_HOSTS = 3;
    private static final int ENTRY_HOSTS = 6;
    private static final int IO_THREADS = 2;
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration WARM_UP_LENGTH = Duration.ofSeconds(6);
    private static final double WARM_UP_RATE_SHARE = 0.8;
    private static final byte[] EMPTY_BODY = {};

    private final Path mFolder;
    private final Configuration mConfiguration;
    private final LocalDeployment mDeployment;
    private final NetThreads mThreads = NetThreads.start("measure", IO_THREADS);
    private final StatementClient mClient;

    private Testbed(Path folder, Configuration configuration, LocalDeployment deployment) {
        mFolder = folder;
        mConfiguration = configuration;
        mDeployment = deployment;
        mClient =
                new StatementClient(
                        mThreads,
                        deployment.entryHosts().stream().map(EntryDaemon::callersAddress).toList(),
                        deployment.keys(),
                        service());
    }

    /** Starts a deployment with the rates and bursts of its file multiplied by a factor. */
    public static Testbed start(Path file, double factor, Behaviour behaviour) throws IOException {
        Configuration configuration =
                scaled(ConfigurationReader.read(Files.readString(file)), factor);
        Path folder = Files.createTempDirectory("crocusturn-measure");
        LocalDeploymentSettings plan =
                new LocalDeploymentSettings(
                        configuration, CONTROL_HOSTS, ENTRY_HOSTS, folder, 0, behaviour);
        Testbed testbed = new Testbed(folder, configuration, LocalDeployment.start(plan));
        try {
            testbed.createTables();
            return testbed;
        } catch (RuntimeException e) {
            testbed.close();
            throw e;
        }
    }

    /** Returns the deployment. */
    public LocalDeployment deployment() {
        return mDeployment;
    }

    /** Returns the configuration of the deployment, with scaled rates. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /** Returns the name of the first service, which all statements use. */
    public String service() {
        return mConfiguration.services().get(0).name();
    }

    /** Returns the control state as known to the first entry host. */
    public ControlState state() {
        return mDeployment.entryHosts().get(0).view().state();
    }

    /** Returns the group that serves a workspace. */
    public GroupId groupOf(String workspace) {
        return state().groupOf(WorkspaceId.of(workspace), service()).orElseThrow();
    }

    /** Returns the index of an entry host by its id. */
    int entryHostIndex(HostId host) {
        return IntStream.range(0, ENTRY_HOSTS)
                .filter(n -> host.equals(HostId.of("entry-" + (n + 1))))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the given share of the rate limit of each workspace, in requests per second. */
    public Map<String, Double> rates(double share) {
        return mConfiguration.workspaces().stream()
                .collect(
                        Collectors.toMap(
                                w -> w.id().value(),
                                w -> w.rate().perSecond() * share,
                                (a, b) -> a,
                                TreeMap::new));
    }

    /** Returns the workspace with the highest rate limit, the first one on a tie. */
    public Workspace highestRateWorkspace() {
        return mConfiguration.workspaces().stream()
                .max(Comparator.comparingDouble(w -> w.rate().perSecond()))
                .orElseThrow();
    }

    /** Returns a generator of arrivals for this deployment. */
    public ArrivalGenerator arrivalGenerator(long seed, RequestMix mix) {
        return new ArrivalGenerator(seed, ENTRY_HOSTS, mix);
    }

    /** Sends an unmeasured load, so that the JVM compiles the code before a measurement. */
    void warmUp() {
        load(
                        arrivalGenerator(0, RequestMix.READ_MOSTLY)
                                .poisson(rates(WARM_UP_RATE_SHARE), WARM_UP_LENGTH),
                        false)
                .join();
    }

    /** Starts a load that sends the given arrivals. */
    Load load(List<Arrival> arrivals, boolean requestIds) {
        return Load.start(mClient, arrivals, requestIds);
    }

    /** Returns the client that sends statements to the entry hosts. */
    StatementClient client() {
        return mClient;
    }

    /** Sends a drain or restore request for a data centre. */
    void changeDataCentre(String dataCentre, String action) {
        mDeployment
                .operatorClient()
                .send(
                        "POST",
                        "/v1/data-centres/" + dataCentre + "/" + action,
                        Optional.of(UUID.randomUUID().toString()),
                        EMPTY_BODY);
    }

    /** Runs a statement on the primary, retrying until it succeeds or 20 s have passed. */
    JsonNode runOnPrimary(String workspace, String sql, long... parameters) {
        var statement = Json.object().put("sql", sql).put("access", "write");
        var values = statement.putArray("parameters");
        java.util.Arrays.stream(parameters).forEach(values::add);
        HttpResponse[] lastAnswer = new HttpResponse[1];
        boolean succeeded =
                LocalDeployment.await(
                        RUN_TIMEOUT,
                        () -> {
                            lastAnswer[0] = mClient.sendAndWait(0, workspace, statement);
                            return lastAnswer[0].status() == StatementClient.OK;
                        });
        if (!succeeded) {
            throw new IllegalStateException(
                    "statement failed: " + sql + "; last answer: " + bodyText(lastAnswer[0]));
        }
        return Json.read(lastAnswer[0].body());
    }

    /** Returns one workspace for each group. */
    Map<GroupId, String> workspaceByGroup() {
        return mConfiguration.workspaces().stream()
                .map(w -> w.id().value())
                .collect(Collectors.toMap(this::groupOf, w -> w, (a, b) -> a));
    }

    @Override
    public void close() {
        mDeployment.close();
        mThreads.close();
        try (var files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void createTables() {
        workspaceByGroup()
                .values()
                .forEach(
                        w -> {
                            runOnPrimary(w, "CREATE TABLE measured (session BIGINT, n BIGINT)");
                            runOnPrimary(w, "CREATE INDEX measured_index ON measured (session, n)");
                        });
    }

    private static Configuration scaled(Configuration original, double factor) {
        return new Configuration(
                original.version(),
                original.dataCentres(),
                original.workspaces().stream().map(w -> scaled(w, factor)).toList(),
                original.services(),
                original.openRoutes());
    }

    private static Workspace scaled(Workspace original, double factor) {
        RateLimit rate =
                new RateLimit(
                        original.rate().perSecond() * factor,
                        Math.max(1, Math.round(original.rate().burst() * factor)));
        return new Workspace(original.id(), rate, original.services(), original.databases());
    }

    private static String bodyText(HttpResponse answer) {
        return new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8);
    }
}
