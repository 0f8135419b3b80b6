package org.crocusturn.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.daemon.Main;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.operators.ConfigurationReader;
import org.crocusturn.daemon.operators.ExitStatus;
import org.crocusturn.daemon.platform.StopSignal;
import org.crocusturn.daemon.settings.FaultsException;
import org.crocusturn.standin.database.Behaviour;
import org.crocusturn.standin.local.LocalDeployment;
import org.crocusturn.standin.local.LocalDeploymentSettings;

/**
 * Runs a whole deployment in one process.
 *
 * <p>Once the deployment serves requests, it prints its URLs and keys as one line of JSON.
 */
public final class LocalMain {
    private static final int CONTROL_HOSTS = 3;
    private static final int ENTRY_HOSTS = 3;
    private static final int MAX_PORT = 65_535;

    private LocalMain() {}

    /** Starts the deployment and runs until the process receives a stop signal. */
    public static void main(String[] arguments) throws IOException {
        Main.configureLogFormat();
        ArgumentParser parser = parser();
        try {
            run(parser.parseArgs(arguments));
            System.exit(ExitStatus.DONE.code());
        } catch (HelpScreenException e) {
            System.exit(ExitStatus.DONE.code());
        } catch (ArgumentParserException e) {
            parser.handleError(e, new java.io.PrintWriter(System.err, true));
            System.exit(ExitStatus.USAGE.code());
        } catch (FaultsException e) {
            System.err.println(e.getMessage());
            System.exit(ExitStatus.REFUSED.code());
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("crocusturn")
                        .build()
                        .description("Runs a whole deployment in one process on loopback.")
                        .epilog("Example: crocusturn local --port 8080");
        parser.addArgument("command").choices("local").help("local");
        parser.addArgument("--settings")
                .metavar("FILE")
                .help("file with the initial configuration");
        parser.addArgument("--port")
                .type(Integer.class)
                .choices(Arguments.range(0, MAX_PORT))
                .setDefault(0)
                .help("port of the first entry host; 0 chooses free ports");
        return parser;
    }

    private static void run(Namespace options) throws IOException {
        Configuration configuration = ConfigurationReader.read(readConfiguration(options));
        Path folder = Files.createTempDirectory("crocusturn-local");
        StopSignal stop = StopSignal.install();
        LocalDeployment deployment =
                LocalDeployment.start(
                        new LocalDeploymentSettings(
                                configuration,
                                CONTROL_HOSTS,
                                ENTRY_HOSTS,
                                folder,
                                options.getInt("port"),
                                Behaviour.NORMAL));
        System.out.println(readyLine(deployment, configuration));
        stop.requested().join();
        deployment.stop();
        deleteRecursively(folder);
    }

    private static ObjectNode readyLine(LocalDeployment deployment, Configuration configuration) {
        ObjectNode line = Json.object();
        ArrayNode entries = line.putArray("entries");
        deployment.entryUrls().forEach(url -> entries.add(url.toString()));
        line.put("operator", deployment.operatorUrls().get(0).toString())
                .put("service", configuration.services().get(0).name());
        ObjectNode keys = line.putObject("keys");
        deployment.keys().forEach(keys::put);
        return line;
    }

    private static String readConfiguration(Namespace options) throws IOException {
        String file = options.getString("settings");
        if (file != null) {
            return Files.readString(Path.of(file));
        }
        try (var stream = LocalMain.class.getResourceAsStream("local.yaml")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void deleteRecursively(Path folder) {
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .map(Path::toFile)
                    .forEach(java.io.File::delete);
        } catch (IOException e) {
            System.err.println("crocusturn: cannot delete " + folder);
        }
    }
}
