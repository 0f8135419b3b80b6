package org.crocusturn.daemon.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.DataCentreState;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.daemon.settings.FaultsException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against partly applied files and against faults without line and path. */
class ConfigurationReaderTest {
    private static final String HASH = "0f".repeat(32);
    private static final String VALID =
            """
            version: 3
            dataCentres: [north, south]
            services:
              - name: db
                instances: 3
                databases: [one, two]
                slots: 2
                connections: 16
            workspaces:
              - name: team
                rate: 50/s
                burst: 100
                services: [db]
                databases: {db: one}
            """;

    @ParameterizedTest
    @ValueSource(strings = {"amman", "zuid-holland"})
    void readsExamples(String example) throws IOException {
        Path file = Path.of("..", "examples", example, "configuration.yaml");
        Configuration read = ConfigurationReader.read(Files.readString(file));
        assertEquals(8, read.workspaces().size());
        assertEquals(3, read.services().get(0).databases().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "version: 3|version: x|version|1",
                "version: 3|version: 0|version|1",
                "version: 3|version: 3\\nverzion: 3|verzion|2",
                "[north, south]|[north, north]|dataCentres[1]|2",
                "[north, south]|[north, 'so uth']|dataCentres[1]|2",
                "instances: 3|instances: 99|services[0].instances|5",
                "instances: 3|instances: 15|services[0].instances|5",
                "rate: 50/s|rate: 90000000/s|workspaces[0].rate.perSecond|11",
                "slots: 2|slots: many|services[0].slots|7",
                "slots: 2|slot: 2|services[0].slots|4",
                "connections: 16|connections: 16ms|services[0].connections|8",
                "rate: 50/s|rate: 50|workspaces[0].rate|11",
                "rate: 50/s|rate: 50/min|workspaces[0].rate|11",
                "rate: 50/s|rate: -1/s|workspaces[0].rate|11",
                "burst: 100|burst: 0|workspaces[0].burst|12",
                "services: [db]|services: [other]|workspaces[0].services[0]|13",
                "{db: one}|{db: nine}|workspaces[0].databases.db|14",
                "{db: one}|{other: one}|workspaces[0].databases.other|14",
                "name: team|name: {a: b}|workspaces[0].name|10",
                "[north, south]|[north, {name: north}]|dataCentres[1]|2",
                "[north, south]|[{name: north, state: off}]|dataCentres[0].state|2",
                "[north, south]|[{state: drained}]|dataCentres[0].name|2",
                "version: 3|version: 3\\nkeys: [{id: k, workspace: x, sha256: HASH}]"
                        + "|keys[0].workspace|2",
                "version: 3|version: 3\\nkeys: [{id: k, workspace: team, sha256: ab}]"
                        + "|keys[0].sha256|2"
            })
    void reportsEachFaultWithPathAndLine(String old, String replacement, String path, int line) {
        String text = VALID.replace(old, replacement.replace("\\n", "\n").replace("HASH", HASH));
        FaultsException e =
                assertThrows(FaultsException.class, () -> ConfigurationReader.read(text));
        assertTrue(
                e.faults().stream().anyMatch(f -> f.path().equals(path) && f.line() == line),
                () -> "expected " + path + " at line " + line + ", found " + e.faults());
    }

    /** Guards against data centre states and keys that are lost in reading or writing. */
    @ParameterizedTest
    @CsvSource({"drained,DRAINED", "in-service,IN_SERVICE"})
    void readsStatesAndKeys(String word, DataCentreState state) {
        String keys = "keys: [{id: k, workspace: team, sha256: " + HASH + "}]\n";
        Configuration read =
                ConfigurationReader.read(
                        VALID.replace("south]", "{name: south, state: " + word + "}]") + keys);
        assertEquals(Map.of(DataCentreId.of("south"), state), read.dataCentreStates());
        assertEquals(List.of(new KeyRecord("k", HASH, WorkspaceId.of("team"))), read.keys());
        assertEquals(read, ConfigurationReader.read(ConfigurationWriter.write(read)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "just text",
                "[1, 2",
                "a: &x [1]\nb: *x",
                "a: 1\na: 2",
                "!!java.io.File x"
            })
    void refusesTextsThatAreNotConfigurations(String text) {
        assertThrows(FaultsException.class, () -> ConfigurationReader.read(text));
    }
}
