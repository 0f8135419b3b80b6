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

/** Is a running deployment with callers and an empty table in each database. */
public final class Rig implements AutoCloseable {
    private static final int CONTROL_HOSTS = 3;
    private static final int ENTRY_HOSTS = 6;
    private static final int IO_THREADS = 2;
    private static final Duration TABLE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final double WARM_UP_SHARE = 0.8;
    private static final byte[] NO_BODY = {};

    private final Path mFolder;
    private final Configuration mConfiguration;
    private final LocalDeployment mDeployment;
    private final NetThreads mThreads = NetThreads.start("measure", IO_THREADS);
    private final Callers mCallers;

    private Rig(Path folder, Configuration configuration, LocalDeployment deployment) {
        mFolder = folder;
        mConfiguration = configuration;
        mDeployment = deployment;
        mCallers =
                new Callers(
                        mThreads,
                        deployment.entryHosts().stream().map(EntryDaemon::callersAddress).toList(),
                        deployment.keys(),
                        service());
    }

    /** Starts a deployment whose rates and bursts are those of its file times a factor. */
    public static Rig start(Path file, double factor, Behaviour behaviour) throws IOException {
        Configuration configuration =
                scaled(ConfigurationReader.read(Files.readString(file)), factor);
        Path folder = Files.createTempDirectory("crocusturn-measure");
        LocalDeploymentSettings plan =
                new LocalDeploymentSettings(
                        configuration, CONTROL_HOSTS, ENTRY_HOSTS, folder, 0, behaviour);
        Rig rig = new Rig(folder, configuration, LocalDeployment.start(plan));
        try {
            rig.createTables();
            return rig;
        } catch (RuntimeException e) {
            rig.close();
            throw e;
        }
    }

    /** Returns the deployment. */
    public LocalDeployment deployment() {
        return mDeployment;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /** Returns the name of the service. */
    public String service() {
        return mConfiguration.services().get(0).name();
    }

    /** Returns the state that the first entry host knows. */
    public ControlState state() {
        return mDeployment.entryHosts().get(0).view().state();
    }

    /** Returns the group of a workspace. */
    public GroupId group(String workspace) {
        return state().groupOf(WorkspaceId.of(workspace), service()).orElseThrow();
    }

    /** Returns the index of an entry host. */
    int entryHost(HostId host) {
        return IntStream.range(0, ENTRY_HOSTS)
                .filter(n -> host.equals(HostId.of("entry-" + (n + 1))))
                .findFirst()
                .orElseThrow();
    }

    /** Returns a share of the rate of each workspace, in requests per second. */
    public Map<String, Double> rates(double share) {
        return mConfiguration.workspaces().stream()
                .collect(
                        Collectors.toMap(
                                w -> w.id().value(),
                                w -> w.rate().perSecond() * share,
                                (a, b) -> a,
                                TreeMap::new));
    }

    /** Returns the workspace with the highest rate; the first one of several. */
    public Workspace largest() {
        return mConfiguration.workspaces().stream()
                .max(Comparator.comparingDouble(w -> w.rate().perSecond()))
                .orElseThrow();
    }

    /** Returns a generator of arrivals for this deployment. */
    public ArrivalPlan arrivals(long seed, Mix mix) {
        return new ArrivalPlan(seed, ENTRY_HOSTS, mix);
    }

    /** Sends a load that is not measured, so that the JVM has compiled the code. */
    void warmUp() {
        load(arrivals(0, Mix.USUAL).poisson(rates(WARM_UP_SHARE), WARM_UP), false).join();
    }

    /** Starts to send a load. */
    Load load(List<Arrival> arrivals, boolean requestIds) {
        return Load.start(mCallers, arrivals, requestIds);
    }

    /** Returns the callers. */
    Callers callers() {
        return mCallers;
    }

    /** Takes a data centre out of service or restores it. */
    void turn(String dataCentre, String action) {
        mDeployment
                .operatorClient()
                .send(
                        "POST",
                        "/v1/data-centres/" + dataCentre + "/" + action,
                        Optional.of(UUID.randomUUID().toString()),
                        NO_BODY);
    }

    /** Runs a statement on the primary until it succeeds. */
    JsonNode runOnPrimary(String workspace, String sql, long... parameters) {
        var statement = Json.object().put("sql", sql).put("access", "write");
        var values = statement.putArray("parameters");
        java.util.Arrays.stream(parameters).forEach(values::add);
        HttpResponse[] last = new HttpResponse[1];
        boolean done =
                LocalDeployment.await(
                        TABLE_TIMEOUT,
                        () -> {
                            last[0] = mCallers.run(0, workspace, statement);
                            return last[0].status() == Callers.OK;
                        });
        if (!done) {
            throw new IllegalStateException("cannot run " + sql + ": " + text(last[0]));
        }
        return Json.read(last[0].body());
    }

    /** Returns one workspace of each group. */
    Map<GroupId, String> workspaceByGroup() {
        return mConfiguration.workspaces().stream()
                .map(w -> w.id().value())
                .collect(Collectors.toMap(this::group, w -> w, (a, b) -> a));
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

    private static Configuration scaled(Configuration given, double factor) {
        return new Configuration(
                given.version(),
                given.dataCentres(),
                given.workspaces().stream().map(w -> scaled(w, factor)).toList(),
                given.services(),
                given.openRoutes());
    }

    private static Workspace scaled(Workspace given, double factor) {
        RateLimit rate =
                new RateLimit(
                        given.rate().perSecond() * factor,
                        Math.max(1, Math.round(given.rate().burst() * factor)));
        return new Workspace(given.id(), rate, given.services(), given.databases());
    }

    private static String text(HttpResponse answer) {
        return new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8);
    }
}
