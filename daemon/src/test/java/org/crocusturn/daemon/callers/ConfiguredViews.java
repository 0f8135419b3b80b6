package org.crocusturn.daemon.callers;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.ControlView;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.KeyRecord;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.PromotionMode;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Route;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.operators.Workspace;
import org.crocusturn.core.ring.SteadyClock;

/** Views of an entry host while configurations change its keys, workspaces and routes. */
public final class ConfiguredViews {
    /** Name by which sessions request the only database. */
    public static final String DATABASE = "db";

    /** Hash of the key that the tests withdraw. */
    public static final String KEY = "a".repeat(64);

    /** Workspace that holds the key at first. */
    public static final WorkspaceId FIRST = WorkspaceId.of("first");

    /** Workspace that the key moves to. */
    public static final WorkspaceId SECOND = WorkspaceId.of("second");

    /** Group of the database. */
    public static final GroupId GROUP = GroupId.of("s", Service.SINGLE_DATABASE);

    private static final HostId HOST = HostId.of("host-1");

    private final ControlView mEmptyView = ControlView.empty((state, command) -> state);
    private ControlState mState = ControlState.EMPTY;

    /** Returns the view before the first configuration. */
    public ControlView empty() {
        return mEmptyView;
    }

    /** Returns the withdrawn key as one of a workspace. */
    public static KeyRecord key(WorkspaceId workspace) {
        return new KeyRecord("key", KEY, workspace);
    }

    /**
     * Applies a configuration and returns the view with it.
     *
     * @param version version of the configuration
     * @param workspaces workspaces of the configuration
     * @param keys keys in force
     * @param openRoute whether the route of the database needs no key; without a value there is no
     *     route
     */
    public ControlView change(
            long version,
            List<WorkspaceId> workspaces,
            List<KeyRecord> keys,
            Optional<Boolean> openRoute) {
        Configuration configuration =
                new Configuration(
                        version,
                        List.of(),
                        workspaces.stream()
                                .map(w -> new Workspace(w, new RateLimit(9, 9), Set.of(), Map.of()))
                                .toList(),
                        List.of(
                                new Service(
                                        GROUP.service(),
                                        List.of(GROUP.database()),
                                        3,
                                        1,
                                        16,
                                        AcknowledgeMode.DURABLE,
                                        false,
                                        PromotionMode.LEASEHOLDER)),
                        List.of(),
                        Map.of(),
                        keys,
                        openRoute.map(ConfiguredViews::route).stream().toList(),
                        SessionLimits.DEFAULT,
                        "");
        apply(new ControlCommand.ReplaceConfiguration("change " + version, configuration));
        apply(new ControlCommand.AssignLease(GROUP, new Leaseholder(HOST, "127.0.0.1:1", 1, 1)));
        long now = SteadyClock.nanoTime();
        return mEmptyView
                .withReportSent(1, now)
                .withUpdate(
                        new ControlUpdate(
                                1,
                                1,
                                1,
                                new StateUpdate.Replacement(mState),
                                1_500,
                                List.of(),
                                List.of(),
                                List.of()),
                        now);
    }

    private void apply(ControlCommand command) {
        mState = ControlStateMachine.apply(mState, mState.version() + 1, command).state();
    }

    private static Route route(boolean open) {
        return new Route(
                "r",
                DATABASE,
                GROUP.service(),
                Consistency.PRIMARY,
                Duration.ZERO,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                open);
    }
}
