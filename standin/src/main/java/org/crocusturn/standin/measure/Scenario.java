package org.crocusturn.standin.measure;

import java.util.List;
import java.util.function.Consumer;

/** Is one kind of measurement; each has a small class of its own. */
public interface Scenario {
    /** Returns the name on the command line. */
    String name();

    /** Returns the length of the load if none is given, in seconds. */
    int usualSeconds();

    /** Returns the least age of an entry when a replica applies it. */
    default long lagMillis(DeploymentTimes times) {
        return times.lagMillis();
    }

    /** Returns whether a load that is not measured is sent first. */
    default boolean warmsUp() {
        return true;
    }

    /** Returns the factor on the configured rates if none is given. */
    default double usualFactor() {
        return 0.5;
    }

    /**
     * Measures a deployment.
     *
     * @param rig the deployment
     * @param options options of the run
     * @param progress told what is going on
     */
    List<Figure> measure(Rig rig, MeasureOptions options, Consumer<String> progress);
}
