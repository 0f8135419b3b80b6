package org.crocusturn.daemon.operators;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Describes the arguments of the command line. */
final class CommandLineParser {
    private static final int HELP_WIDTH = 100;

    private CommandLineParser() {}

    static ArgumentParser create() {
        ArgumentParser parser =
                ArgumentParsers.newFor("crocusturn")
                        .terminalWidthDetection(false)
                        .defaultFormatWidth(HELP_WIDTH)
                        .build()
                        .description("Database proxy with session consistency.")
                        .epilog("Example: crocusturn check examples/amman/configuration.yaml");
        Subparsers commands = parser.addSubparsers().title("commands").dest("command");
        daemon(commands, "entry", "run an entry host");
        daemon(commands, "control", "run a control host");
        local(commands);
        check(commands);
        apply(commands);
        key(commands);
        dataCentre(commands);
        member(commands);
        Subparser status = command(commands, "status", "show the state of the system");
        status.epilog(example("status --operator http://127.0.0.1:7400"));
        operator(status);
        explain(commands);
        Subparser version = command(commands, "version", "show the version of the program");
        version.epilog(example("version --json"));
        json(version);
        return parser;
    }

    private static void daemon(Subparsers commands, String name, String help) {
        Subparser parser = command(commands, name, help);
        parser.epilog(example(name + " --settings examples/amman/" + name + "-1.yaml"));
        parser.addArgument("--settings").metavar("FILE").required(true).help("settings file");
    }

    private static void local(Subparsers commands) {
        Subparser parser =
                command(commands, "local", "run a whole deployment in one process on loopback");
        parser.epilog(example("local --port 8080"));
        parser.addArgument("--settings").metavar("FILE").help("configuration file to start with");
        parser.addArgument("--port")
                .type(Integer.class)
                .setDefault(0)
                .help("port of the first entry host; 0 chooses free ports");
    }

    private static void check(Subparsers commands) {
        Subparser parser =
                command(commands, "check", "name all faults of a settings or configuration file");
        parser.epilog(example("check examples/amman/configuration.yaml"));
        parser.addArgument("file").metavar("FILE").help("file to check");
        parser.addArgument("--kind")
                .choices("configuration", "entry", "control")
                .help("kind of the file; found out from its fields if absent");
        json(parser);
    }

    private static void explain(Subparsers commands) {
        Subparser parser =
                command(commands, "explain", "tell the course of a request from JSON logs");
        parser.epilog(example("explain 1356ba6d3484be55 frontend-1.log core-1.log"));
        parser.addArgument("id").metavar("ID").help("id of the statement, as the caller chose it");
        parser.addArgument("files")
                .metavar("FILE")
                .nargs("+")
                .help("logs, each named after its process");
    }

    private static void apply(Subparsers commands) {
        Subparser parser = command(commands, "apply", "apply a configuration file as a whole");
        parser.epilog(example("apply configuration.yaml --operator http://127.0.0.1:7400"));
        parser.addArgument("file").metavar("FILE").help("configuration file");
        operator(parser);
        change(parser);
    }

    private static void key(Subparsers commands) {
        Subparsers actions =
                command(commands, "key", "issue or withdraw a caller's key")
                        .addSubparsers()
                        .dest("action");
        Subparser issue = command(actions, "issue", "draw a key and show it once");
        issue.epilog(example("key issue inspections-east --operator http://127.0.0.1:7400"));
        issue.addArgument("workspace").metavar("WORKSPACE").help("workspace of the key");
        operator(issue);
        Subparser withdraw = command(actions, "withdraw", "make a key useless for ever");
        withdraw.epilog(example("key withdraw key-0a1b2c3d4e5f --operator http://127.0.0.1:7400"));
        withdraw.addArgument("key").metavar("KEY_ID").help("id that was shown with the key");
        operator(withdraw);
        change(withdraw);
    }

    private static void dataCentre(Subparsers commands) {
        Subparsers actions =
                command(commands, "data-centre", "take a data centre out or bring it back")
                        .addSubparsers()
                        .dest("action");
        dataCentreAction(actions, "drain", "give the data centre no new work");
        dataCentreAction(actions, "restore", "give the data centre work again");
    }

    private static void dataCentreAction(Subparsers actions, String name, String help) {
        Subparser parser = command(actions, name, help);
        parser.epilog(example("data-centre " + name + " marka --operator http://127.0.0.1:7400"));
        parser.addArgument("name").metavar("NAME").help("data centre");
        operator(parser);
        change(parser);
    }

    private static void member(Subparsers commands) {
        Subparsers actions =
                command(commands, "member", "add or remove a control host")
                        .addSubparsers()
                        .dest("action");
        Subparser add = command(actions, "add", "add a control host that starts empty");
        add.epilog(example("member add control-4 127.0.0.1:7104 --operator http://127.0.0.1:7400"));
        add.addArgument("host").metavar("HOST").help("name of the control host");
        add.addArgument("address").metavar("ADDRESS").help("IP address and port of its link");
        operator(add);
        change(add);
        Subparser remove = command(actions, "remove", "remove a control host");
        remove.epilog(example("member remove control-2 --operator http://127.0.0.1:7400"));
        remove.addArgument("host").metavar("HOST").help("name of the control host");
        operator(remove);
        change(remove);
    }

    private static Subparser command(Subparsers commands, String name, String help) {
        return commands.addParser(name).help(help).description(help + ".").defaultHelp(true);
    }

    private static void operator(Subparser parser) {
        parser.addArgument("--operator")
                .metavar("URL")
                .required(true)
                .help("operators' address of a control host; several with commas between them");
        parser.addArgument("--secret-file")
                .metavar("FILE")
                .help("file with the operator secret; else CROCUSTURN_OPERATOR_SECRET is used");
        json(parser);
    }

    private static void change(Subparser parser) {
        parser.addArgument("--change-id")
                .metavar("ID")
                .help("id of the change; a resend with the same id gets the first answer");
    }

    private static void json(Subparser parser) {
        parser.addArgument("--json").action(Arguments.storeTrue()).help("write JSON for programs");
    }

    private static String example(String arguments) {
        return "Example: crocusturn " + arguments;
    }
}
