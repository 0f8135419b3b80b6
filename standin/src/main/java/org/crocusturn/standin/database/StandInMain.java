package org.crocusturn.standin.database;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.daemon.net.NetThreads;

/** Runs one stand-in database as a process until it receives SIGTERM. */
public final class StandInMain {
    private static final int USAGE_EXIT_CODE = 2;
    private static final int IO_THREADS = 2;

    private StandInMain() {}

    /** Parses the arguments and runs the stand-in. */
    public static void main(String[] args) throws InterruptedException {
        ArgumentParser parser = createParser();
        try {
            Namespace options = parser.parseArgs(args);
            run(toSettings(options), Duration.ofMillis(options.getLong("leave_millis")));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(USAGE_EXIT_CODE);
        } catch (IllegalArgumentException | org.crocusturn.core.CrocusturnException e) {
            System.err.println("standin: " + e.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private static void run(StandInSettings settings, Duration leaveLimit)
            throws InterruptedException {
        NetThreads threads = NetThreads.start("standin", IO_THREADS);
        StandInDatabase database = StandInDatabase.start(settings, threads);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    database.leave(leaveLimit).join();
                                    database.close();
                                    // Without halt, the exit status of the process would report the
                                    // signal.
                                    Runtime.getRuntime().halt(0);
                                },
                                "leave"));
        System.out.println(
                "standin: "
                        + database.record().id()
                        + " serves "
                        + database.record().address()
                        + " status "
                        + database.record().statusAddress());
        System.out.flush();
        Thread.currentThread().join();
    }

    private static StandInSettings toSettings(Namespace options) {
        return new StandInSettings(
                EndpointId.of(options.getString("endpoint")),
                options.getString("service"),
                DataCentreId.of(options.getString("data_centre")),
                options.getString("address"),
                options.getString("status_address"),
                Arrays.stream(options.getString("databases").split(","))
                        .map(StandInMain::parseDatabase)
                        .toList(),
                Behaviour.NORMAL
                        .withConnectMillis(options.getLong("connect_millis"))
                        .withStatementMillis(options.getLong("statement_millis"))
                        .withLagMillis(options.getLong("lag_millis")),
                Arrays.stream(options.getString("control").split(","))
                        .filter(s -> !s.isEmpty())
                        .toList(),
                readSecret(options.getString("announcement_secret_file")));
    }

    private static DatabaseRecord parseDatabase(String text) {
        List<String> parts = List.of(text.split(":"));
        if (parts.size() != 3) {
            throw new IllegalArgumentException(
                    "database \"" + text + "\" must be NAME:SLOTS:CONNECTIONS");
        }
        return new DatabaseRecord(
                parts.get(0), Integer.parseInt(parts.get(1)), Integer.parseInt(parts.get(2)));
    }

    private static String readSecret(String file) {
        if (file.isEmpty()) {
            return "none";
        }
        try {
            return java.nio.file.Files.readString(java.nio.file.Path.of(file)).strip();
        } catch (java.io.IOException e) {
            throw new IllegalArgumentException("file \"" + file + "\" could not be read", e);
        }
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("standin").build().description("Runs a stand-in database.");
        parser.addArgument("--endpoint").required(true).help("name of the endpoint");
        parser.addArgument("--service").required(true).help("service that the endpoint belongs to");
        parser.addArgument("--data-centre").required(true).help("data centre of the endpoint");
        parser.addArgument("--address")
                .setDefault("127.0.0.1:0")
                .help("IP address and port of the database protocol");
        parser.addArgument("--status-address")
                .setDefault("127.0.0.1:0")
                .help("IP address and port of the status protocol");
        parser.addArgument("--databases")
                .required(true)
                .help("comma-separated list of databases, each as NAME:SLOTS:CONNECTIONS");
        parser.addArgument("--control")
                .setDefault("")
                .help("comma-separated list of the operator addresses of control hosts");
        parser.addArgument("--announcement-secret-file")
                .setDefault("")
                .help("file that contains the bearer secret of announcements");
        addMillisArgument(parser, "--connect-millis", 0, "time in ms that opening a session takes");
        addMillisArgument(
                parser,
                "--statement-millis",
                0,
                "time in ms that a statement occupies its slot before it runs");
        addMillisArgument(
                parser,
                "--lag-millis",
                0,
                "minimum age in ms of an entry before a replica applies it");
        addMillisArgument(
                parser, "--leave-millis", 30_000, "maximum time in ms to leave after SIGTERM");
        return parser;
    }

    private static void addMillisArgument(
            ArgumentParser parser, String name, long value, String help) {
        parser.addArgument(name).type(Long.class).setDefault(value).help(help);
    }
}
