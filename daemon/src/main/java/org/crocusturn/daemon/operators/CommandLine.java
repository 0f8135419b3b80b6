package org.crocusturn.daemon.operators;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.Failure;
import org.crocusturn.core.Names;
import org.crocusturn.core.Verdict;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.settings.FaultsException;
import org.crocusturn.daemon.settings.Secret;
import org.crocusturn.daemon.settings.SettingsReader;
import org.crocusturn.daemon.settings.YamlValue;

/** Command line of the program; runs one command. */
public final class CommandLine {
    private static final byte[] NO_BODY = {};
    private static final int CHANGE_ID_BYTES = 8;
    private static final String SECRET_VARIABLE = "CROCUSTURN_OPERATOR_SECRET";

    private final DaemonCommands mDaemons;
    private final Map<String, String> mEnvironment;
    private final PrintStream mOut;
    private final PrintStream mErr;
    private final SecureRandom mRandom = new SecureRandom();

    private CommandLine(
            DaemonCommands daemons,
            Map<String, String> environment,
            PrintStream out,
            PrintStream err) {
        mDaemons = daemons;
        mEnvironment = Map.copyOf(environment);
        mOut = out;
        mErr = err;
    }

    /**
     * Creates a command line.
     *
     * @param daemons runs the daemons
     * @param environment environment variables
     * @param out stream for results
     * @param err stream for error messages
     */
    public static CommandLine create(
            DaemonCommands daemons,
            Map<String, String> environment,
            PrintStream out,
            PrintStream err) {
        return new CommandLine(daemons, environment, out, err);
    }

    /** Runs a command and returns its exit status. */
    public ExitStatus run(String... arguments) {
        ArgumentParser parser = CommandLineParser.create();
        try {
            return run(parser.parseArgs(arguments));
        } catch (HelpScreenException e) {
            return ExitStatus.DONE;
        } catch (ArgumentParserException e) {
            parser.handleError(e, new java.io.PrintWriter(mErr, true));
            return ExitStatus.USAGE;
        } catch (FaultsException e) {
            mErr.println(e.getMessage());
            return ExitStatus.REFUSED;
        } catch (CrocusturnException e) {
            return reportFailure(e.failure());
        } catch (IllegalArgumentException e) {
            mErr.println("crocusturn: " + e.getMessage());
            return ExitStatus.USAGE;
        } catch (IOException e) {
            mErr.println("crocusturn: cannot read " + e.getMessage());
            return ExitStatus.USAGE;
        }
    }

    private ExitStatus explain(String id, List<String> files) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            String name = Path.of(file).getFileName().toString().replaceFirst("\\.[^.]*$", "");
            Files.readAllLines(Path.of(file)).stream()
                    .flatMap(text -> LogLine.parse(name, text).stream())
                    .forEach(lines::add);
        }
        List<String> timeline = RequestTimeline.of(lines, id);
        timeline.forEach(mOut::println);
        if (timeline.isEmpty()) {
            mErr.println(
                    "crocusturn: no log line contains "
                            + id
                            + "; only failed statements are logged");
        }
        return timeline.isEmpty() ? ExitStatus.REFUSED : ExitStatus.DONE;
    }

    private ExitStatus run(Namespace options) throws IOException {
        String action = options.getString("action");
        String command = options.getString("command") + (action == null ? "" : " " + action);
        switch (command) {
            case "entry" -> mDaemons.runEntry(readEntrySettings(pathOption(options, "settings")));
            case "control" ->
                    mDaemons.runControl(readControlSettings(pathOption(options, "settings")));
            case "check" -> {
                return check(options);
            }
            case "explain" -> {
                return explain(options.getString("id"), options.getList("files"));
            }
            case "version" -> printVersion(options);
            case "status" ->
                    print(options, send(options, "GET", "/v1/status", Optional.empty(), NO_BODY));
            case "usage" ->
                    print(options, send(options, "GET", "/v1/usage", Optional.empty(), NO_BODY));
            case "apply" ->
                    sendChange(
                            options,
                            "POST",
                            "/v1/configuration",
                            Files.readAllBytes(pathOption(options, "file")));
            case "key issue" -> issueKey(options);
            case "key withdraw" ->
                    sendChange(
                            options, "DELETE", "/v1/keys/" + checkedName(options, "key"), NO_BODY);
            case "data-centre drain", "data-centre restore" ->
                    sendChange(
                            options,
                            "POST",
                            "/v1/data-centres/" + checkedName(options, "name") + "/" + action,
                            NO_BODY);
            case "member add" ->
                    sendChange(
                            options,
                            "POST",
                            "/v1/members",
                            Json.write(
                                    Json.object()
                                            .put("host", options.getString("host"))
                                            .put("address", options.getString("address"))));
            case "member remove" ->
                    sendChange(
                            options,
                            "DELETE",
                            "/v1/members/" + checkedName(options, "host"),
                            NO_BODY);
            default -> {
                mErr.println(
                        "crocusturn: "
                                + command
                                + " is available only through the script bin/crocusturn");
                return ExitStatus.USAGE;
            }
        }
        return ExitStatus.DONE;
    }

    private ExitStatus reportFailure(Failure failure) {
        mErr.println("crocusturn: " + failure.message());
        if (failure.verdict() == Verdict.NOT_RUN) {
            return ExitStatus.REFUSED;
        }
        mErr.println("crocusturn: the change may have been made; retry with the same --change-id");
        return ExitStatus.UNKNOWN;
    }

    /**
     * Issues a key. It takes no change id because each call generates a new key; if the outcome is
     * unknown, the key can be withdrawn.
     */
    private void issueKey(Namespace options) throws IOException {
        NewKey key = NewKey.generate(mRandom);
        String changeId = changeId(options);
        mErr.println("crocusturn: change id " + changeId + ", key id " + key.id());
        byte[] body =
                Json.write(
                        Json.object()
                                .put("id", key.id())
                                .put("hash", key.hash())
                                .put("workspace", options.getString("workspace")));
        sendWithRetry(options, "POST", "/v1/keys", changeId, body);
        ObjectNode result =
                Json.object()
                        .put("id", key.id())
                        .put("key", key.key())
                        .put("workspace", options.getString("workspace"));
        print(options, result);
    }

    private void sendChange(Namespace options, String method, String route, byte[] body)
            throws IOException {
        String changeId = changeId(options);
        mErr.println("crocusturn: change id " + changeId);
        print(options, sendWithRetry(options, method, route, changeId, body));
    }

    /**
     * Retries a change once if its outcome is unknown; the change id prevents a second execution.
     */
    private JsonNode sendWithRetry(
            Namespace options, String method, String route, String changeId, byte[] body)
            throws IOException {
        try {
            return send(options, method, route, Optional.of(changeId), body);
        } catch (CrocusturnException e) {
            if (e.failure().verdict() == Verdict.NOT_RUN) {
                throw e;
            }
            return send(options, method, route, Optional.of(changeId), body);
        }
    }

    private JsonNode send(
            Namespace options, String method, String route, Optional<String> changeId, byte[] body)
            throws IOException {
        List<URI> hosts =
                Arrays.stream(options.getString("operator").split(",")).map(URI::create).toList();
        String file = options.getString("secret_file");
        Secret secret =
                file != null
                        ? Secret.ofFile(Path.of(file))
                        : Optional.ofNullable(mEnvironment.get(SECRET_VARIABLE))
                                .map(Secret::of)
                                .orElse(Secret.NONE);
        return OperatorClient.create(hosts, secret).send(method, route, changeId, body);
    }

    private ExitStatus check(Namespace options) throws IOException {
        Path file = pathOption(options, "file");
        String text = Files.readString(file);
        try {
            String kind = detectKind(options.getString("kind"), text);
            switch (kind) {
                case "entry" -> readEntrySettings(file);
                case "control" -> readControlSettings(file);
                default -> ConfigurationReader.read(text);
            }
            ObjectNode result = Json.object().put("file", file.toString()).put("kind", kind);
            print(options, result.put("valid", true));
            return ExitStatus.DONE;
        } catch (FaultsException e) {
            if (!options.getBoolean("json")) {
                throw e;
            }
            ObjectNode result = Json.object().put("file", file.toString()).put("valid", false);
            ArrayNode faults = result.putArray("faults");
            e.faults()
                    .forEach(
                            f ->
                                    faults.addObject()
                                            .put("line", f.line())
                                            .put("path", f.path())
                                            .put("value", f.value())
                                            .put("allowed", f.allowed()));
            mOut.println(result);
            return ExitStatus.REFUSED;
        }
    }

    private static String detectKind(String requested, String text) {
        if (requested != null) {
            return requested;
        }
        Set<String> fields = YamlValue.parse(text, new ArrayList<>()).map().keySet();
        if (fields.contains("dataFolder") || fields.contains("members")) {
            return "control";
        }
        return fields.contains("callers") ? "entry" : "configuration";
    }

    private void printVersion(Namespace options) {
        String version = CommandLine.class.getPackage().getImplementationVersion();
        print(options, Json.object().put("version", version == null ? "development" : version));
    }

    private void print(Namespace options, JsonNode result) {
        if (options.getBoolean("json")) {
            mOut.println(result);
        } else {
            TextFormatter.format(result).forEach(mOut::println);
        }
    }

    private String changeId(Namespace options) {
        String id = options.getString("change_id");
        if (id != null) {
            return id;
        }
        byte[] random = new byte[CHANGE_ID_BYTES];
        mRandom.nextBytes(random);
        return HexFormat.of().formatHex(random);
    }

    private static org.crocusturn.daemon.settings.EntrySettings readEntrySettings(Path file)
            throws IOException {
        return SettingsReader.readEntry(Files.readString(file), parentFolder(file));
    }

    private static org.crocusturn.daemon.settings.ControlSettings readControlSettings(Path file)
            throws IOException {
        return SettingsReader.readControl(Files.readString(file), parentFolder(file));
    }

    /** Returns a name that is valid as a path segment. */
    private static String checkedName(Namespace options, String argument) {
        try {
            return Names.check(options.getString(argument), argument);
        } catch (CrocusturnException e) {
            throw new IllegalArgumentException(e.failure().message(), e);
        }
    }

    private static Path parentFolder(Path file) {
        return file.toAbsolutePath().getParent();
    }

    private static Path pathOption(Namespace options, String name) {
        return Path.of(options.getString(name));
    }
}
