package org.crocusturn.standin.local;

import java.nio.file.Path;
import java.util.Objects;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.standin.database.Behaviour;

/**
 * Describes a deployment that runs in one process.
 *
 * @param configuration configuration to start with
 * @param controlHosts number of control hosts
 * @param entryHosts number of entry hosts
 * @param folder folder for the data of the control hosts
 * @param port port of the first entry host for callers; 0 chooses a free one
 * @param behaviour behaviour of the stand-in databases
 */
public record LocalDeploymentSettings(
        Configuration configuration,
        int controlHosts,
        int entryHosts,
        Path folder,
        int port,
        Behaviour behaviour) {
    /** Checks the parts. */
    public LocalDeploymentSettings {
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(folder, "folder");
        Objects.requireNonNull(behaviour, "behaviour");
        if (controlHosts < 1 || entryHosts < 1) {
            throw new IllegalArgumentException(
                    "there must be at least one control host and one entry host");
        }
    }
}
