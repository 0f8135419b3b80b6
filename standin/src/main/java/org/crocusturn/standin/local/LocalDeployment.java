package org.crocusturn.standin.local;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.DatabaseRecord;
import org.crocusturn.core.operators.Service;
import org.crocusturn.daemon.ControlDaemon;
import org.crocusturn.daemon.EntryDaemon;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.operators.ConfigurationWriter;
import org.crocusturn.daemon.operators.NewKey;
import org.crocusturn.daemon.operators.OperatorClient;
import org.crocusturn.daemon.settings.ControlSettings;
import org.crocusturn.daemon.settings.EntrySettings;
import org.crocusturn.daemon.settings.PeerAddress;
import org.crocusturn.daemon.settings.PlatformSettings;
import org.crocusturn.daemon.settings.Secret;
import org.crocusturn.standin.database.StandInDatabase;
import org.crocusturn.standin.database.StandInSettings;

/** Runs control hosts, entry hosts and stand-in databases in this process on loopback. */
public final class LocalDeployment implements AutoCloseable {
    private static final int SECRET_BYTES = 24;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_MILLIS = 20;
    private static final InetSocketAddress LOOPBACK_ANY_PORT =
            new InetSocketAddress("127.0.0.1", 0);

    private final LocalDeploymentSettings mSettings;
    private final Secret mLinkSecret = randomSecret();
    private final Secret mSessionSecret = randomSecret();
    private final Secret mAnnouncementSecret = randomSecret();
    private final List<PeerAddress> mMembers;
    private final List<InetSocketAddress> mControlAddresses;
    private final NetThreads mThreads = NetThreads.start("stand-in", 2);
    private final List<ControlDaemon> mControlHosts = new CopyOnWriteArrayList<>();
    private final List<EntryDaemon> mEntryHosts = new CopyOnWriteArrayList<>();
    private final List<StandInDatabase> mDatabases = new CopyOnWriteArrayList<>();
    private final List<StandInSettings> mDatabaseSettings = new CopyOnWriteArrayList<>();
    private final Map<String, String> mKeys = new TreeMap<>();

    private LocalDeployment(LocalDeploymentSettings settings) {
        mSettings = settings;
        int hostCount = settings.controlHosts();
        List<InetSocketAddress> addresses = FreePorts.find(3 * hostCount);
        List<InetSocketAddress> linkAddresses = addresses.subList(0, hostCount);
        mControlAddresses = addresses.subList(hostCount, 3 * hostCount);
        mMembers =
                IntStream.range(0, settings.controlHosts())
                        .mapToObj(
                                n ->
                                        new PeerAddress(
                                                HostId.of("control-" + (n + 1)),
                                                linkAddresses.get(n)))
                        .toList();
    }

    /** Starts a deployment and waits until all groups serve requests. */
    public static LocalDeployment start(LocalDeploymentSettings settings) {
        LocalDeployment deployment = new LocalDeployment(settings);
        try {
            deployment.startAll();
            return deployment;
        } catch (RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /** Returns the URLs of the entry hosts for callers. */
    public List<URI> entryUrls() {
        return mEntryHosts.stream().map(e -> toUrl(e.callersAddress())).toList();
    }

    /** Returns the URLs of the control hosts for operators. */
    public List<URI> operatorUrls() {
        return mControlHosts.stream().map(c -> toUrl(c.operatorsAddress())).toList();
    }

    /** Returns the issued key of each workspace by workspace name. */
    public Map<String, String> keys() {
        return Map.copyOf(mKeys);
    }

    /** Creates a client of the operator API. */
    public OperatorClient operatorClient() {
        return OperatorClient.create(operatorUrls(), Secret.NONE);
    }

    /** Returns the running control hosts. */
    public List<ControlDaemon> controlHosts() {
        return List.copyOf(mControlHosts);
    }

    /** Returns the running entry hosts. */
    public List<EntryDaemon> entryHosts() {
        return List.copyOf(mEntryHosts);
    }

    /** Returns the stand-in databases, including those closed by {@link #terminateDatabase}. */
    public List<StandInDatabase> databases() {
        return List.copyOf(mDatabases);
    }

    /**
     * Closes all control hosts without a planned stop, starts them again from their data folders
     * and waits for a leader.
     */
    public void restartControlHosts() {
        mControlHosts.forEach(ControlDaemon::close);
        mControlHosts.clear();
        mMembers.forEach(m -> mControlHosts.add(ControlDaemon.start(controlSettings(m))));
        awaitOrThrow("a leader", () -> mControlHosts.stream().anyMatch(ControlDaemon::leads));
    }

    /** Closes and removes an entry host without a planned stop. */
    public void terminate(EntryDaemon host) {
        mEntryHosts.remove(host);
        host.close();
    }

    /** Closes and removes a control host without a planned stop. */
    public void terminate(ControlDaemon host) {
        mControlHosts.remove(host);
        host.close();
    }

    /** Closes and removes a stand-in database without a planned stop; its data is lost. */
    public void terminate(StandInDatabase database) {
        mDatabases.remove(database);
        database.close();
    }

    /**
     * Closes a stand-in database without a planned stop; its data is lost. {@link #restartDatabase}
     * can replace it.
     */
    public void terminateDatabase(int database) {
        mDatabases.get(database).close();
    }

    /** Replaces a closed stand-in database with an empty one on other ports. */
    public void restartDatabase(int database) {
        mDatabases.set(database, StandInDatabase.start(mDatabaseSettings.get(database), mThreads));
    }

    /**
     * Stops the deployment. Entry hosts get a planned stop first, so that they release their leases
     * before the rest is closed.
     */
    public void stop() {
        mEntryHosts.forEach(EntryDaemon::requestStop);
        mEntryHosts.forEach(e -> await(STOP_TIMEOUT, e::isStopped));
        close();
    }

    @Override
    public void close() {
        mEntryHosts.forEach(EntryDaemon::close);
        mControlHosts.forEach(ControlDaemon::close);
        mDatabases.forEach(StandInDatabase::close);
        mThreads.close();
    }

    /**
     * Waits until a condition holds, checking it periodically.
     *
     * @return true if the condition held before the timeout, false after the timeout or an
     *     interrupt
     */
    public static boolean await(Duration timeout, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeout.toNanos();
        CountDownLatch neverReleased = new CountDownLatch(1);
        while (!condition.getAsBoolean()) {
            if (deadline - System.nanoTime() <= 0) {
                return false;
            }
            try {
                neverReleased.await(POLL_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    private void startAll() {
        mMembers.forEach(m -> mControlHosts.add(ControlDaemon.start(controlSettings(m))));
        IntStream.range(0, mSettings.entryHosts())
                .forEach(n -> mEntryHosts.add(EntryDaemon.start(entrySettings(n))));
        awaitOrThrow("a leader", () -> mControlHosts.stream().anyMatch(ControlDaemon::leads));
        applyConfiguration(mSettings.configuration());
        mSettings.configuration().services().forEach(this::startDatabases);
        mSettings.configuration().workspaces().forEach(w -> issueKey(w.id().value()));
        awaitOrThrow(
                "all groups to serve", () -> mEntryHosts.stream().allMatch(this::servesAllGroups));
    }

    private boolean servesAllGroups(EntryDaemon entry) {
        ControlState state = entry.view().state();
        return entry.isReady()
                && state.keys().size() >= mKeys.size()
                && !state.groups().isEmpty()
                && state.groups().values().stream()
                        .allMatch(g -> g.primary().isPresent() && g.leaseholder().isPresent());
    }

    private void applyConfiguration(Configuration configuration) {
        operatorClient()
                .send(
                        "POST",
                        "/v1/configuration",
                        Optional.of(randomChangeId()),
                        ConfigurationWriter.write(configuration)
                                .getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private void issueKey(String workspace) {
        NewKey key = NewKey.generate(new SecureRandom());
        JsonNode body =
                Json.object()
                        .put("id", key.id())
                        .put("hash", key.hash())
                        .put("workspace", workspace);
        operatorClient().send("POST", "/v1/keys", Optional.of(randomChangeId()), Json.write(body));
        mKeys.put(workspace, key.key());
    }

    private void startDatabases(Service service) {
        List<DatabaseRecord> databases =
                service.databases().stream()
                        .map(
                                name ->
                                        new DatabaseRecord(
                                                name, service.slots(), service.connections()))
                        .toList();
        List<String> controlAddresses =
                mControlHosts.stream().map(c -> Addresses.format(c.endpointsAddress())).toList();
        List<DataCentreId> dataCentres = mSettings.configuration().dataCentres();
        IntStream.range(0, service.instances())
                .mapToObj(
                        n ->
                                StandInSettings.onLoopback(
                                        service.name() + "-" + (n + 1),
                                        service.name(),
                                        dataCentres.get(n % dataCentres.size()).value(),
                                        databases))
                .map(s -> s.withBehaviour(mSettings.behaviour()))
                .map(s -> s.withControl(controlAddresses, mAnnouncementSecret.text()))
                .forEach(
                        s -> {
                            mDatabaseSettings.add(s);
                            mDatabases.add(StandInDatabase.start(s, mThreads));
                        });
    }

    private ControlSettings controlSettings(PeerAddress member) {
        return new ControlSettings(
                member.host(),
                dataCentre(0),
                mSettings.folder().resolve(member.host().value()),
                member.address(),
                mControlAddresses.get(2 * mMembers.indexOf(member)),
                mControlAddresses.get(2 * mMembers.indexOf(member) + 1),
                platformSettings(),
                mMembers,
                true,
                mLinkSecret,
                Secret.NONE,
                mAnnouncementSecret);
    }

    private EntrySettings entrySettings(int n) {
        InetSocketAddress callers =
                new InetSocketAddress("127.0.0.1", n == 0 ? mSettings.port() : 0);
        return new EntrySettings(
                HostId.of("entry-" + (n + 1)),
                dataCentre(n),
                callers,
                LOOPBACK_ANY_PORT,
                platformSettings(),
                mMembers,
                mLinkSecret,
                mSessionSecret);
    }

    private DataCentreId dataCentre(int n) {
        List<DataCentreId> dataCentres = mSettings.configuration().dataCentres();
        return dataCentres.get(n % dataCentres.size());
    }

    private static PlatformSettings platformSettings() {
        return new PlatformSettings(
                LOOPBACK_ANY_PORT, Duration.ofMillis(200), Duration.ofSeconds(10));
    }

    private static void awaitOrThrow(String description, BooleanSupplier condition) {
        if (!await(READY_TIMEOUT, condition)) {
            throw new IllegalStateException("timed out waiting for " + description);
        }
    }

    private static URI toUrl(InetSocketAddress address) {
        return URI.create("http://" + Addresses.format(address));
    }

    private static Secret randomSecret() {
        return Secret.of(randomHex(SECRET_BYTES));
    }

    private static String randomChangeId() {
        return randomHex(Long.BYTES);
    }

    private static String randomHex(int length) {
        byte[] bytes = new byte[length];
        new SecureRandom().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
