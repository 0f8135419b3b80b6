package org.crocusturn.daemon.operators;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Defines the commands and options of the command line. */
final class CommandLineParser {
    private static final int HELP_WIDTH = 100;
    private static final int MAX_PORT = 65_535;

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
        addDaemonCommand(commands, "entry", "run an entry host");
        addDaemonCommand(commands, "control", "run a control host");
        addLocalCommand(commands);
        addCheckCommand(commands);
        addApplyCommand(commands);
        addKeyCommands(commands);
        addDataCentreCommands(commands);
        addMemberCommands(commands);
        Subparser status = addCommand(commands, "status", "show the state of the system");
        status.epilog(example("status --operator http://127.0.0.1:7400"));
        addOperatorOptions(status);
        Subparser usage = addCommand(commands, "usage", "show the reported requests by workspace");
        usage.epilog(example("usage --operator http://127.0.0.1:7400"));
        addOperatorOptions(usage);
        addExplainCommand(commands);
        Subparser version = addCommand(commands, "version", "show the version of the program");
        version.epilog(example("version --json"));
        addJsonOption(version);
        return parser;
    }

    private static void addDaemonCommand(Subparsers commands, String name, String help) {
        Subparser parser = addCommand(commands, name, help);
        parser.epilog(example(name + " --settings examples/amman/" + name + "-1.yaml"));
        parser.addArgument("--settings").metavar("FILE").required(true).help("settings file");
    }

    private static void addLocalCommand(Subparsers commands) {
        Subparser parser =
                addCommand(commands, "local", "run a whole deployment in one process on loopback");
        parser.epilog(example("local --port 8080"));
        parser.addArgument("--settings").metavar("FILE").help("configuration file to start with");
        parser.addArgument("--port")
                .type(Integer.class)
                .choices(Arguments.range(0, MAX_PORT))
                .setDefault(0)
                .help("port of the first entry host; 0 chooses free ports");
    }

    private static void addCheckCommand(Subparsers commands) {
        Subparser parser =
                addCommand(
                        commands, "check", "list all faults of a settings or configuration file");
        parser.epilog(example("check examples/amman/configuration.yaml"));
        parser.addArgument("file").metavar("FILE").help("file to check");
        parser.addArgument("--kind")
                .choices("configuration", "entry", "control")
                .help("kind of the file; detected from its fields by default");
        addJsonOption(parser);
    }

    private static void addExplainCommand(Subparsers commands) {
        Subparser parser =
                addCommand(commands, "explain", "show the timeline of a request from JSON logs");
        parser.epilog(example("explain 1356ba6d3484be55 frontend-1.log core-1.log"));
        parser.addArgument("id").metavar("ID").help("id of the statement, as chosen by the caller");
        parser.addArgument("files")
                .metavar("FILE")
                .nargs("+")
                .help("log files, each named after its process");
    }

    private static void addApplyCommand(Subparsers commands) {
        Subparser parser = addCommand(commands, "apply", "apply a configuration file as a whole");
        parser.epilog(example("apply configuration.yaml --operator http://127.0.0.1:7400"));
        parser.addArgument("file").metavar("FILE").help("configuration file");
        addOperatorOptions(parser);
        addChangeIdOption(parser);
    }

    private static void addKeyCommands(Subparsers commands) {
        Subparsers actions =
                addCommand(commands, "key", "issue or withdraw a caller's key")
                        .addSubparsers()
                        .dest("action");
        Subparser issue = addCommand(actions, "issue", "generate a key and show it once");
        issue.epilog(example("key issue inspections-east --operator http://127.0.0.1:7400"));
        issue.addArgument("workspace").metavar("WORKSPACE").help("workspace of the key");
        addOperatorOptions(issue);
        Subparser withdraw = addCommand(actions, "withdraw", "withdraw a key permanently");
        withdraw.epilog(example("key withdraw key-0a1b2c3d4e5f --operator http://127.0.0.1:7400"));
        withdraw.addArgument("key").metavar("KEY_ID").help("id that was printed with the key");
        addOperatorOptions(withdraw);
        addChangeIdOption(withdraw);
    }

    private static void addDataCentreCommands(Subparsers commands) {
        Subparsers actions =
                addCommand(commands, "data-centre", "drain a data centre or restore it")
                        .addSubparsers()
                        .dest("action");
        addDataCentreCommand(actions, "drain", "stop assigning new work to the data centre");
        addDataCentreCommand(actions, "restore", "assign work to the data centre again");
    }

    private static void addDataCentreCommand(Subparsers actions, String name, String help) {
        Subparser parser = addCommand(actions, name, help);
        parser.epilog(example("data-centre " + name + " marka --operator http://127.0.0.1:7400"));
        parser.addArgument("name").metavar("NAME").help("data centre");
        addOperatorOptions(parser);
        addChangeIdOption(parser);
    }

    private static void addMemberCommands(Subparsers commands) {
        Subparsers actions =
                addCommand(commands, "member", "add or remove a control host")
                        .addSubparsers()
                        .dest("action");
        Subparser add = addCommand(actions, "add", "add a control host that starts empty");
        add.epilog(example("member add control-4 127.0.0.1:7104 --operator http://127.0.0.1:7400"));
        add.addArgument("host").metavar("HOST").help("name of the control host");
        add.addArgument("address").metavar("ADDRESS").help("IP address and port of its link");
        addOperatorOptions(add);
        addChangeIdOption(add);
        Subparser remove = addCommand(actions, "remove", "remove a control host");
        remove.epilog(example("member remove control-2 --operator http://127.0.0.1:7400"));
        remove.addArgument("host").metavar("HOST").help("name of the control host");
        addOperatorOptions(remove);
        addChangeIdOption(remove);
    }

    private static Subparser addCommand(Subparsers commands, String name, String help) {
        return commands.addParser(name).help(help).description(help + ".").defaultHelp(true);
    }

    private static void addOperatorOptions(Subparser parser) {
        parser.addArgument("--operator")
                .metavar("URL")
                .required(true)
                .help("operator URLs of control hosts, separated by commas");
        parser.addArgument("--secret-file")
                .metavar("FILE")
                .help("file with the operator secret; default: CROCUSTURN_OPERATOR_SECRET");
        addJsonOption(parser);
    }

    private static void addChangeIdOption(Subparser parser) {
        parser.addArgument("--change-id")
                .metavar("ID")
                .help("id of the change; a retry with the same id returns the original result");
    }

    private static void addJsonOption(Subparser parser) {
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    }

    private static String example(String arguments) {
        return "Example: crocusturn " + arguments;
    }
}
