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

/** Are the processes of a deployment on loopback, started by the test and ended with it. */
final class Processes implements AutoCloseable {
    /** Callers stand behind a load balancer that leaves a host which answers no more. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);

    private static final String SECRET = "a-secret-of-this-test-only";
    private static final List<String> CENTRES = List.of("abdali", "marka", "tlaa-ali");
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final int HOSTS = 3;

    private final Path mFolder;
    private final List<InetSocketAddress> mPorts = FreePorts.find(8 * HOSTS);
    private final Map<String, Process> mRunning = new LinkedHashMap<>();
    private final NewKey mKey = NewKey.generate(new java.security.SecureRandom());
    private final OperatorClient mOperators;

    private Processes(Path folder) {
        mFolder = folder;
        mOperators =
                OperatorClient.create(
                        IntStream.range(0, HOSTS)
                                .mapToObj(n -> URI.create("http://" + port(n, 1)))
                                .toList(),
                        Secret.of(SECRET));
    }

    static Processes start(Path folder) {
        Processes processes = new Processes(folder);
        try {
            processes.startAll();
            return processes;
        } catch (RuntimeException | Error e) {
            processes.close();
            throw e;
        }
    }

    Caller caller(int session) {
        List<URI> entries =
                IntStream.range(0, HOSTS)
                        .mapToObj(n -> URI.create("http://" + port(n, 4)))
                        .toList();
        return Caller.create(entries, Proof.SERVICE, mKey.key(), session, ANSWER_TIMEOUT);
    }

    Process process(String name) {
        return mRunning.get(name);
    }

    /** Returns what a control host says of the system, if it answers. */
    Optional<JsonNode> status(int host) {
        try {
            return Optional.of(
                    OperatorClient.create(
                                    List.of(URI.create("http://" + port(host, 1))),
                                    Secret.of(SECRET))
                            .send("GET", "/v1/status", Optional.empty(), new byte[0]));
        } catch (CrocusturnException e) {
            return Optional.empty();
        }
    }

    /** Returns the end of what a process has written, for messages of failed tests. */
    String log(String name) {
        try {
            List<String> lines = Files.readAllLines(mFolder.resolve(name + ".log"));
            return String.join("\n", lines.subList(Math.max(0, lines.size() - 25), lines.size()));
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Returns the group as the leader knows it. */
    JsonNode group() {
        return IntStream.range(0, HOSTS)
                .filter(n -> alive("control-" + (n + 1)))
                .mapToObj(this::status)
                .flatMap(Optional::stream)
                .filter(s -> s.path("leads").asBoolean())
                .map(s -> s.path("groups").path(0))
                .findFirst()
                .orElse(Json.object());
    }

    void signal(String name, String signal) {
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

    /** Ends a control host, deletes its data folder and starts it as one that lost its disk. */
    void loseDisk(int host) {
        String name = "control-" + (host + 1);
        end(process(name));
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
                        .put("workspace", Proof.WORKSPACE);
        mOperators.send("POST", "/v1/keys", Optional.of(key.id()), Json.write(body));
    }

    @Override
    public void close() {
        mRunning.values().forEach(Processes::end);
    }

    private void startAll() {
        secretFile();
        IntStream.range(0, HOSTS).forEach(n -> startControl(n, true));
        IntStream.range(0, HOSTS).forEach(this::startEntry);
        IntStream.range(0, HOSTS).forEach(this::startDatabase);
        byte[] file =
                ConfigurationWriter.write(Proof.CONFIGURATION).getBytes(StandardCharsets.UTF_8);
        require(
                "a configuration",
                () -> {
                    try {
                        mOperators.send("POST", "/v1/configuration", Optional.of("first"), file);
                        return true;
                    } catch (CrocusturnException e) {
                        return false;
                    }
                });
        issueKey(mKey);
        require(
                "a table",
                () ->
                        caller(0)
                                .run(
                                        "CREATE TABLE IF NOT EXISTS entry (number BIGINT,"
                                                + " part INT, session INT)")
                                .isEmpty());
    }

    private void startControl(int n, boolean bootstrap) {
        String name = "control-" + (n + 1);
        String text =
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
                                CENTRES.get(n),
                                name,
                                port(n, 0),
                                port(n, 1),
                                port(n, 2),
                                port(n, 3),
                                members(),
                                bootstrap);
        run(name, "org.crocusturn.daemon.Main", "control", "--settings", settings(name, text));
    }

    private void startEntry(int n) {
        String name = "entry-" + (n + 1);
        String text =
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
                                CENTRES.get(n),
                                port(n, 4),
                                port(n, 5),
                                port(n, 6),
                                members());
        run(name, "org.crocusturn.daemon.Main", "entry", "--settings", settings(name, text));
    }

    private void startDatabase(int n) {
        String control =
                IntStream.range(0, HOSTS)
                        .mapToObj(h -> port(h, 2))
                        .collect(Collectors.joining(","));
        String name = Proof.SERVICE + "-" + (n + 1);
        run(
                name,
                "org.crocusturn.standin.database.StandInMain",
                "--endpoint",
                name,
                "--service",
                Proof.SERVICE,
                "--data-centre",
                CENTRES.get(n),
                "--databases",
                "visits:4:32",
                "--control",
                control,
                "--announcement-secret-file",
                mFolder.resolve("secret").toString(),
                "--lag-millis",
                String.valueOf(50 * (n + 1)));
    }

    private void run(String name, String main, String... arguments) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx256m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                main));
        command.addAll(List.of(arguments));
        try {
            mRunning.put(
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

    private String settings(String name, String text) {
        try {
            return Files.writeString(mFolder.resolve(name + ".yaml"), text).toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void secretFile() {
        try {
            Path file = Files.writeString(mFolder.resolve("secret"), SECRET);
            Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String members() {
        return IntStream.range(0, HOSTS)
                .mapToObj(n -> "{host: control-" + (n + 1) + ", address: '" + port(n, 0) + "'}")
                .collect(Collectors.joining(", ", "[", "]"));
    }

    private String port(int host, int use) {
        return Addresses.format(mPorts.get(8 * host + use));
    }

    private boolean alive(String name) {
        return mRunning.containsKey(name) && mRunning.get(name).isAlive();
    }

    private static void require(String what, java.util.function.BooleanSupplier condition) {
        if (!LocalDeployment.await(START_LIMIT, condition)) {
            throw new IllegalStateException("waited too long for " + what);
        }
    }

    /** SIGKILL also ends a process that is stopped. */
    private static void end(Process process) {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
