package org.crocusturn.standin.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.controlhosts.TokenDemand;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.PlacementKey;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;

/**
 * Creates replicated control states, reports and configurations of any size.
 *
 * <p>A service has 4 databases on each of 3 instances; each group has one workspace with one key.
 */
final class SyntheticStates {
    static final long INCARNATION = 7_000_000_000_000_000_000L;

    private static final int DATABASES = 4;
    private static final int INSTANCES = 3;
    private static final int DATA_CENTRES = 19;

    private SyntheticStates() {}

    /** Returns a state in which each group has a primary and one of the hosts as leaseholder. */
    static ControlState state(int groups, int hosts) {
        Map<String, KeyRecord> keys = new HashMap<>();
        Map<GroupId, GroupRecord> records = new HashMap<>();
        Map<PlacementKey, String> placements = new HashMap<>();
        for (int n = 0; n < groups; n++) {
            GroupId id = group(n);
            keys.put(keyHash(n), new KeyRecord("key-" + n, keyHash(n), workspace(n)));
            records.put(id, groupRecord(n, hosts));
            placements.put(new PlacementKey(workspace(n), id.service()), id.database());
        }
        return new ControlState(
                1_000,
                configuration(groups),
                keys,
                Set.of(),
                endpoints(groups),
                records,
                placements,
                Map.of());
    }

    /** Returns the report of a host that holds its leases in the result of {@link #state}. */
    static EntryReport report(int host, int hosts, int groups, long sequence) {
        List<Integer> heldGroups =
                IntStream.iterate(host, n -> n < groups, n -> n + hosts).boxed().toList();
        return new EntryReport(
                host(host),
                INCARNATION,
                dataCentre(host),
                "10.0.0.1:7000",
                sequence,
                1_000,
                heldGroups.stream().map(n -> new HeldLease(group(n), 12, 0, false, 3)).toList(),
                heldGroups.stream().map(n -> new TokenDemand(workspace(n), 20, 1_000_000)).toList(),
                Set.of(),
                false,
                sequence - 1);
    }

    static GroupId group(int n) {
        return GroupId.of("service-" + n / DATABASES, "database-" + n % DATABASES);
    }

    static WorkspaceId workspace(int n) {
        return WorkspaceId.of("workspace-" + n);
    }

    static HostId host(int n) {
        return HostId.of("entry-" + n);
    }

    static String keyHash(int n) {
        return String.format("%064x", n + 1L);
    }

    static EndpointId endpoint(int service, int instance) {
        return EndpointId.of("service-" + service + "-" + instance);
    }

    static DataCentreId dataCentre(int n) {
        return DataCentreId.of("centre-" + n % DATA_CENTRES);
    }

    /** Returns the configuration in the result of {@link #state}. */
    static Configuration configuration(int groups) {
        List<Workspace> workspaces =
                IntStream.range(0, groups)
                        .mapToObj(
                                n ->
                                        new Workspace(
                                                workspace(n),
                                                new RateLimit(600, 1_200),
                                                Set.of(group(n).service()),
                                                Map.of(group(n).service(), group(n).database())))
                        .toList();
        return new Configuration(
                1,
                IntStream.range(0, DATA_CENTRES).mapToObj(SyntheticStates::dataCentre).toList(),
                workspaces,
                IntStream.range(0, services(groups)).mapToObj(SyntheticStates::service).toList(),
                List.of("/about"));
    }

    private static int services(int groups) {
        return (groups + DATABASES - 1) / DATABASES;
    }

    private static List<String> databases() {
        return IntStream.range(0, DATABASES).mapToObj(d -> "database-" + d).toList();
    }

    private static Service service(int n) {
        return new Service(
                "service-" + n, databases(), INSTANCES, 5, 50, AcknowledgeMode.DURABLE, false);
    }

    private static GroupRecord groupRecord(int n, int hosts) {
        Leaseholder holder = new Leaseholder(host(n % hosts), "10.0.0.1:7000", INCARNATION, 12);
        EndpointId primary = endpoint(n / DATABASES, 0);
        return new GroupRecord(group(n), 3, Optional.of(primary), 40, Optional.of(holder), 12);
    }

    private static Map<EndpointId, EndpointRecord> endpoints(int groups) {
        Map<EndpointId, EndpointRecord> endpoints = new HashMap<>();
        for (int s = 0; s < services(groups); s++) {
            for (int i = 0; i < INSTANCES; i++) {
                endpoints.put(endpoint(s, i), endpointRecord(s, i));
            }
        }
        return endpoints;
    }

    private static EndpointRecord endpointRecord(int service, int instance) {
        return new EndpointRecord(
                endpoint(service, instance),
                "service-" + service,
                dataCentre(service + instance),
                "10.0.0.2:7200",
                "10.0.0.2:7201",
                databases().stream().map(d -> new DatabaseRecord(d, 5, 50)).toList(),
                false);
    }
}
