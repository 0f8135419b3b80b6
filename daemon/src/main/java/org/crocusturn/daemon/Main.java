package org.crocusturn.daemon;

import org.crocusturn.daemon.operators.CommandLine;
import org.crocusturn.daemon.platform.FatalFailureHandler;

/** Entry point of the program {@code crocusturn}. */
public final class Main {
    private Main() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] arguments) {
        configureLogFormat();
        FatalFailureHandler.install();
        System.exit(
                CommandLine.create(new DaemonRunner(), System.getenv(), System.out, System.err)
                        .run(arguments)
                        .code());
    }

    /** Must run before the first logger is created, because Log4j reads its settings only once. */
    public static void configureLogFormat() {
        String format = System.getenv().getOrDefault("CROCUSTURN_LOG", "text");
        if (format.equals("json")) {
            System.setProperty("log4j2.configurationFile", "classpath:log4j2-json.xml");
        }
    }
}
