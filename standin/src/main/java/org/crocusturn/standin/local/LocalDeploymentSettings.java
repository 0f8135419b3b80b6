package org.crocusturn.standin.local;

import java.nio.file.Path;
import java.util.Objects;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.standin.database.Behaviour;

/**
 * Settings of a deployment that runs in one process.
 *
 * @param configuration initial configuration
 * @param controlHosts number of control hosts
 * @param entryHosts number of entry hosts
 * @param folder parent folder of the data folders of the control hosts
 * @param port port for callers of the first entry host; 0 selects a free one
 * @param behaviour behaviour of the stand-in databases
 */
public record LocalDeploymentSettings(
        Configuration configuration,
        int controlHosts,
        int entryHosts,
        Path folder,
        int port,
        Behaviour behaviour) {
    /** Validates the components. */
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
