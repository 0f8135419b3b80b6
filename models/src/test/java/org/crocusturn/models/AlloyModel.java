package org.crocusturn.models;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import kodkod.engine.satlab.SATFactory;

/** A parsed specification file of this package, whose commands can be solved. */
final class AlloyModel {
    /** Preferred solver; the pure Java solver gives the same results but is slower. */
    private static final String NATIVE_SOLVER = "glucose";

    private final CompModule mModule;

    private AlloyModel(CompModule module) {
        mModule = module;
    }

    /** Parses the resource with a name relative to this class. */
    static AlloyModel load(String name) {
        try (InputStream in = AlloyModel.class.getResourceAsStream(name)) {
            Objects.requireNonNull(in, () -> "resource " + name + " does not exist");
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return new AlloyModel(CompUtil.parseEverything_fromString(A4Reporter.NOP, text));
        } catch (IOException e) {
            throw new IllegalStateException("cannot read resource " + name, e);
        }
    }

    /** Returns the check and run commands in the order of their declaration. */
    List<Command> commands() {
        return List.copyOf(mModule.getAllCommands());
    }

    /** Returns the command with a label. */
    Command command(String label) {
        return commands().stream().filter(c -> c.label.equals(label)).findFirst().orElseThrow();
    }

    /**
     * Solves a command. A satisfiable solution is a counterexample of a check or an instance of a
     * run.
     */
    A4Solution solve(Command command) {
        A4Options options = new A4Options();
        options.solver = SATFactory.find(NATIVE_SOLVER).orElse(SATFactory.DEFAULT);
        return TranslateAlloyToKodkod.execute_command(
                A4Reporter.NOP, mModule.getAllReachableSigs(), command, options);
    }
}
