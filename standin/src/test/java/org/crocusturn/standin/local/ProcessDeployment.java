package org.crocusturn.standin.local;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.operators.ConfigurationWriter;
import org.crocusturn.daemon.operators.NewKey;
import org.crocusturn.daemon.operators.OperatorClient;
import org.crocusturn.daemon.settings.Secret;
import org.crocusturn.standin.history.Caller;

/** Deployment whose hosts and databases run as separate processes on loopback during a test. */
final class ProcessDeployment implements AutoCloseable {
    /** Makes callers leave a host that does not respond, as a load balancer in front of it does. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_500);

    private static final String SECRET = "a-secret-of-this-test-only";
    private static final List<String> DATA_CENTRES = List.of("abdali", "marka", "tlaa-ali");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int HOST_COUNT = 3;

    private final Path mFolder;
    private final List<InetSocketAddress> mAddresses = FreePorts.find(8 * HOST_COUNT);
    private final Map<String, Process> mProcesses = new LinkedHashMap<>();
    private final NewKey mKey = NewKey.generate(new java.security.SecureRandom());
    private final OperatorClient mOperatorClient;

    private ProcessDeployment(Path folder) {
        mFolder = folder;
        mOperatorClient =
                OperatorClient.create(
                        IntStream.range(0, HOST_COUNT)
                                .mapToObj(n -> URI.create("http://" + address(n, 1)))
                                .toList(),
                        Secret.of(SECRET));
    }

    static ProcessDeployment start(Path folder) {
        ProcessDeployment deployment = new ProcessDeployment(folder);
        try {
            deployment.startAll();
            return deployment;
        } catch (RuntimeException | Error e) {
            deployment.close();
            throw e;
        }
    }

    Caller caller(int session) {
        List<URI> entryUrls =
                IntStream.range(0, HOST_COUNT)
                        .mapToObj(n -> URI.create("http://" + address(n, 4)))
                        .toList();
        return Caller.create(
                entryUrls, DeploymentUnderLoad.SERVICE, mKey.key(), session, RESPONSE_TIMEOUT);
    }

    Process process(String name) {
        return mProcesses.get(name);
    }

    /** Returns the status that a control host reports, empty if its request fails. */
    Optional<JsonNode> status(int host) {
        try {
            return Optional.of(
                    OperatorClient.create(
                                    List.of(URI.create("http://" + address(host, 1))),
                                    Secret.of(SECRET))
                            .send("GET", "/v1/status", Optional.empty(), new byte[0]));
        } catch (CrocusturnException e) {
            return Optional.empty();
        }
    }

    /** Returns the last lines of the output of a process, for failure messages. */
    String readLogTail(String name) {
        try {
            List<String> lines = Files.readAllLines(mFolder.resolve(name + ".log"));
            return String.join("\n", lines.subList(Math.max(0, lines.size() - 25), lines.size()));
        } catch (IOException e) {
            return e.toString();
        }
    }

    /**
     * Returns the status of the first group at the control leader, an empty object without leader.
     */
    JsonNode groupStatus() {
        return IntStream.range(0, HOST_COUNT)
                .filter(n -> isAlive("control-" + (n + 1)))
                .mapToObj(this::status)
                .flatMap(Optional::stream)
                .filter(s -> s.path("leads").asBoolean())
                .map(s -> s.path("groups").path(0))
                .findFirst()
                .orElse(Json.object());
    }

    void sendSignal(String name, String signal) {
        try {
            Process kill =
                    new ProcessBuilder("kill", "-" + signal, String.valueOf(process(name).pid()))
                            .inheritIO()
                            .start();
            kill.waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills a control host, deletes its data folder and starts it without bootstrapping. */
    void restartWithoutData(int host) {
        String name = "control-" + (host + 1);
        kill(process(name));
        try (Stream<Path> files = Files.walk(mFolder.resolve(name + "-data"))) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startControl(host, false);
    }

    void issueKey(NewKey key) {
        JsonNode body =
                Json.object()
                        .put("id", key.id())
                        .put("hash", key.hash())
                        .put("workspace", DeploymentUnderLoad.WORKSPACE);
        mOperatorClient.send("POST", "/v1/keys", Optional.of(key.id()), Json.write(body));
    }

    @Override
    public void close() {
        mProcesses.values().forEach(ProcessDeployment::kill);
    }

    private void startAll() {
        writeSecretFile();
        IntStream.range(0, HOST_COUNT).forEach(n -> startControl(n, true));
        IntStream.range(0, HOST_COUNT).forEach(this::startEntry);
        IntStream.range(0, HOST_COUNT).forEach(this::startDatabase);
        byte[] configuration =
                ConfigurationWriter.write(DeploymentUnderLoad.CONFIGURATION)
                        .getBytes(StandardCharsets.UTF_8);
        awaitOrThrow(
                "a configuration",
                () -> {
                    try {
                        mOperatorClient.send(
                                "POST", "/v1/configuration", Optional.of("first"), configuration);
                        return true;
                    } catch (CrocusturnException e) {
                        return false;
                    }
                });
        issueKey(mKey);
        awaitOrThrow(
                "a table",
                () ->
                        caller(0)
                                .execute(
                                        "CREATE TABLE IF NOT EXISTS entry (number BIGINT,"
                                                + " part INT, session INT)")
                                .isEmpty());
    }

    private void startControl(int n, boolean bootstrap) {
        String name = "control-" + (n + 1);
        String yaml =
                """
                host: %s
                dataCentre: %s
                dataFolder: %s-data
                link: %s
                operators: %s
                endpoints: %s
                platform: {address: %s, balancerDelay: 200ms, drainLimit: 5s}
                members: %s
                bootstrap: %s
                linkSecretFile: secret
                operatorSecretFile: secret
                announcementSecretFile: secret
                """
                        .formatted(
                                name,
                                DATA_CENTRES.get(n),
                                name,
                                address(n, 0),
                                address(n, 1),
                                address(n, 2),
                                address(n, 3),
                                formatMembers(),
                                bootstrap);
        startProcess(
                name,
                "org.crocusturn.daemon.Main",
                "control",
                "--settings",
                writeSettings(name, yaml));
    }

    private void startEntry(int n) {
        String name = "entry-" + (n + 1);
        String yaml =
                """
                host: %s
                dataCentre: %s
                callers: %s
                link: %s
                platform: {address: %s, balancerDelay: 200ms, drainLimit: 5s}
                controlHosts: %s
                linkSecretFile: secret
                sessionSecretFile: secret
                """
                        .formatted(
                                name,
                                DATA_CENTRES.get(n),
                                address(n, 4),
                                address(n, 5),
                                address(n, 6),
                                formatMembers());
        startProcess(
                name,
                "org.crocusturn.daemon.Main",
                "entry",
                "--settings",
                writeSettings(name, yaml));
    }

    private void startDatabase(int n) {
        String controlAddresses =
                IntStream.range(0, HOST_COUNT)
                        .mapToObj(h -> address(h, 2))
                        .collect(Collectors.joining(","));
        String name = DeploymentUnderLoad.SERVICE + "-" + (n + 1);
        startProcess(
                name,
                "org.crocusturn.standin.database.StandInMain",
                "--endpoint",
                name,
                "--service",
                DeploymentUnderLoad.SERVICE,
                "--data-centre",
                DATA_CENTRES.get(n),
                "--databases",
                "visits:4:32",
                "--control",
                controlAddresses,
                "--announcement-secret-file",
                mFolder.resolve("secret").toString(),
                "--lag-millis",
                String.valueOf(50 * (n + 1)));
    }

    private void startProcess(String name, String mainClass, String... arguments) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx256m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                mainClass));
        command.addAll(List.of(arguments));
        try {
            mProcesses.put(
                    name,
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            mFolder.resolve(name + ".log").toFile()))
                            .start());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String writeSettings(String name, String yaml) {
        try {
            return Files.writeString(mFolder.resolve(name + ".yaml"), yaml).toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void writeSecretFile() {
        try {
            Path file = Files.writeString(mFolder.resolve("secret"), SECRET);
            Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String formatMembers() {
        return IntStream.range(0, HOST_COUNT)
                .mapToObj(n -> "{host: control-" + (n + 1) + ", address: '" + address(n, 0) + "'}")
                .collect(Collectors.joining(", ", "[", "]"));
    }

    /**
     * Returns a loopback address of a host.
     *
     * @param index 0 for link, 1 for operators, 2 for endpoints and 3 for platform of the control
     *     host; 4 for callers, 5 for link and 6 for platform of the entry host
     */
    private String address(int host, int index) {
        return Addresses.format(mAddresses.get(8 * host + index));
    }

    private boolean isAlive(String name) {
        return mProcesses.containsKey(name) && mProcesses.get(name).isAlive();
    }

    private static void awaitOrThrow(
            String description, java.util.function.BooleanSupplier condition) {
        if (!LocalDeployment.await(START_TIMEOUT, condition)) {
            throw new IllegalStateException("timed out waiting for " + description);
        }
    }

    /** Ends a process with SIGKILL, which also works on a suspended process. */
    private static void kill(Process process) {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
