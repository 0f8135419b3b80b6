package org.crocusturn.standin.measure;

import java.util.List;
import java.util.function.Consumer;

/** Is one kind of measurement; each has a small class of its own. */
public interface Scenario {
    /** Returns the name on the command line. */
    String name();

    /** Returns the length of the load if none is given, in seconds. */
    int defaultSeconds();

    /** Returns the least age of an entry when a replica applies it. */
    default long replicaLagMillis(DeploymentTimes times) {
        return times.replicaLagMillis();
    }

    /** Returns whether a load that is not measured is sent first. */
    default boolean needsWarmUp() {
        return true;
    }

    /** Returns the factor on the configured rates if none is given. */
    default double defaultRateFactor() {
        return 0.5;
    }

    /**
     * Measures a deployment.
     *
     * @param testbed the deployment
     * @param options options of the run
     * @param progress told what is going on
     */
    List<Figure> measure(Testbed testbed, MeasureOptions options, Consumer<String> progress);
}
