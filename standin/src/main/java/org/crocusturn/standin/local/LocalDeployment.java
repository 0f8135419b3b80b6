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

/** Runs control hosts, entry hosts and stand-in databases in this process, on loopback. */
public final class LocalDeployment implements AutoCloseable {
    private static final int SECRET_BYTES = 24;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_MILLIS = 20;
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

    private final LocalPlan mPlan;
    private final Secret mLinkSecret = secret();
    private final Secret mSessionSecret = secret();
    private final Secret mAnnouncementSecret = secret();
    private final List<PeerAddress> mMembers;
    private final List<InetSocketAddress> mControlPorts;
    private final NetThreads mThreads = NetThreads.start("stand-in", 2);
    private final List<ControlDaemon> mControlHosts = new CopyOnWriteArrayList<>();
    private final List<EntryDaemon> mEntryHosts = new CopyOnWriteArrayList<>();
    private final List<StandInDatabase> mDatabases = new CopyOnWriteArrayList<>();
    private final List<StandInSettings> mDatabaseSettings = new CopyOnWriteArrayList<>();
    private final Map<String, String> mKeys = new TreeMap<>();

    private LocalDeployment(LocalPlan plan) {
        mPlan = plan;
        int hosts = plan.controlHosts();
        List<InetSocketAddress> ports = FreePorts.find(3 * hosts);
        List<InetSocketAddress> links = ports.subList(0, hosts);
        mControlPorts = ports.subList(hosts, 3 * hosts);
        mMembers =
                IntStream.range(0, plan.controlHosts())
                        .mapToObj(
                                n -> new PeerAddress(HostId.of("control-" + (n + 1)), links.get(n)))
                        .toList();
    }

    /** Starts a deployment and returns when it serves callers. */
    public static LocalDeployment start(LocalPlan plan) {
        LocalDeployment deployment = new LocalDeployment(plan);
        try {
            deployment.startAll();
            return deployment;
        } catch (RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /** Returns the addresses of the entry hosts for callers. */
    public List<URI> entries() {
        return mEntryHosts.stream().map(e -> url(e.callersAddress())).toList();
    }

    /** Returns the addresses of the operators' interface. */
    public List<URI> operators() {
        return mControlHosts.stream().map(c -> url(c.operatorsAddress())).toList();
    }

    /** Returns a key for each workspace, by its name. */
    public Map<String, String> keys() {
        return Map.copyOf(mKeys);
    }

    /** Returns a client of the operators' interface. */
    public OperatorClient operatorClient() {
        return OperatorClient.create(operators(), Secret.NONE);
    }

    /** Returns the control hosts. */
    public List<ControlDaemon> controlHosts() {
        return List.copyOf(mControlHosts);
    }

    /** Returns the entry hosts. */
    public List<EntryDaemon> entryHosts() {
        return List.copyOf(mEntryHosts);
    }

    /** Returns the stand-in databases. */
    public List<StandInDatabase> databases() {
        return List.copyOf(mDatabases);
    }

    /** Ends all control hosts at once and starts them again from their data folders. */
    public void restartControlHosts() {
        mControlHosts.forEach(ControlDaemon::close);
        mControlHosts.clear();
        mMembers.forEach(m -> mControlHosts.add(ControlDaemon.start(control(m))));
        require("a leader", () -> mControlHosts.stream().anyMatch(ControlDaemon::leads));
    }

    /** Ends an entry host at once, without a planned stop. */
    public void end(EntryDaemon host) {
        mEntryHosts.remove(host);
        host.close();
    }

    /** Ends a control host at once, without a planned stop. */
    public void end(ControlDaemon host) {
        mControlHosts.remove(host);
        host.close();
    }

    /** Ends a database at once; its data is lost. */
    public void end(StandInDatabase database) {
        mDatabases.remove(database);
        database.close();
    }

    /** Ends a stand-in database at once; its data is lost. */
    public void kill(int database) {
        mDatabases.get(database).close();
    }

    /** Starts an ended stand-in database again, empty and on other ports. */
    public void restart(int database) {
        mDatabases.set(database, StandInDatabase.start(mDatabaseSettings.get(database), mThreads));
    }

    /** Stops all processes gracefully, entry hosts first. */
    public void stop() {
        mEntryHosts.forEach(EntryDaemon::requestStop);
        mEntryHosts.forEach(
                e -> await(STOP_TIMEOUT, () -> e.view().leases().isEmpty() || !e.isReady()));
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
     * Waits until a condition holds.
     *
     * @return whether it held before the timeout
     */
    public static boolean await(Duration timeout, BooleanSupplier condition) {
        long deadline = System.nanoTime() + timeout.toNanos();
        CountDownLatch never = new CountDownLatch(1);
        while (!condition.getAsBoolean()) {
            if (deadline - System.nanoTime() <= 0) {
                return false;
            }
            try {
                never.await(POLL_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    private void startAll() {
        mMembers.forEach(m -> mControlHosts.add(ControlDaemon.start(control(m))));
        IntStream.range(0, mPlan.entryHosts())
                .forEach(n -> mEntryHosts.add(EntryDaemon.start(entry(n))));
        require("a leader", () -> mControlHosts.stream().anyMatch(ControlDaemon::leads));
        apply(mPlan.configuration());
        mPlan.configuration().services().forEach(this::startDatabases);
        mPlan.configuration().workspaces().forEach(w -> issueKey(w.id().value()));
        require("all groups to serve", () -> mEntryHosts.stream().allMatch(this::serves));
    }

    private boolean serves(EntryDaemon entry) {
        ControlState state = entry.view().state();
        return entry.isReady()
                && state.keys().size() >= mKeys.size()
                && !state.groups().isEmpty()
                && state.groups().values().stream()
                        .allMatch(g -> g.primary().isPresent() && g.leaseholder().isPresent());
    }

    private void apply(Configuration configuration) {
        operatorClient()
                .send(
                        "POST",
                        "/v1/configuration",
                        Optional.of(changeId()),
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
        operatorClient().send("POST", "/v1/keys", Optional.of(changeId()), Json.write(body));
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
        List<String> control =
                mControlHosts.stream().map(c -> Addresses.format(c.endpointsAddress())).toList();
        List<DataCentreId> centres = mPlan.configuration().dataCentres();
        IntStream.range(0, service.instances())
                .mapToObj(
                        n ->
                                StandInSettings.onLoopback(
                                        service.name() + "-" + (n + 1),
                                        service.name(),
                                        centres.get(n % centres.size()).value(),
                                        databases))
                .map(s -> s.withBehaviour(mPlan.behaviour()))
                .map(s -> s.withControl(control, mAnnouncementSecret.text()))
                .forEach(
                        s -> {
                            mDatabaseSettings.add(s);
                            mDatabases.add(StandInDatabase.start(s, mThreads));
                        });
    }

    private ControlSettings control(PeerAddress member) {
        return new ControlSettings(
                member.host(),
                centre(0),
                mPlan.folder().resolve(member.host().value()),
                member.address(),
                mControlPorts.get(2 * mMembers.indexOf(member)),
                mControlPorts.get(2 * mMembers.indexOf(member) + 1),
                platform(),
                mMembers,
                true,
                mLinkSecret,
                Secret.NONE,
                mAnnouncementSecret);
    }

    private EntrySettings entry(int n) {
        InetSocketAddress callers = new InetSocketAddress("127.0.0.1", n == 0 ? mPlan.port() : 0);
        return new EntrySettings(
                HostId.of("entry-" + (n + 1)),
                centre(n),
                callers,
                ANY,
                platform(),
                mMembers,
                mLinkSecret,
                mSessionSecret);
    }

    private DataCentreId centre(int n) {
        List<DataCentreId> centres = mPlan.configuration().dataCentres();
        return centres.get(n % centres.size());
    }

    private static PlatformSettings platform() {
        return new PlatformSettings(ANY, Duration.ofMillis(200), Duration.ofSeconds(10));
    }

    private static void require(String what, BooleanSupplier condition) {
        if (!await(READY_TIMEOUT, condition)) {
            throw new IllegalStateException("waited too long for " + what);
        }
    }

    private static URI url(InetSocketAddress address) {
        return URI.create("http://" + Addresses.format(address));
    }

    private static Secret secret() {
        return Secret.of(random(SECRET_BYTES));
    }

    private static String changeId() {
        return random(Long.BYTES);
    }

    private static String random(int bytes) {
        byte[] random = new byte[bytes];
        new SecureRandom().nextBytes(random);
        return HexFormat.of().formatHex(random);
    }
}
