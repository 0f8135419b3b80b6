package org.crocusturn.core.entryhosts;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusturn.core.DataCentreId;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.HeldLease;
import org.crocusturn.core.operators.AcknowledgeMode;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.core.operators.ControlStateMachine;
import org.crocusturn.core.operators.Leaseholder;
import org.crocusturn.core.operators.RateLimit;
import org.crocusturn.core.operators.Service;
import org.crocusturn.core.operators.Workspace;

/** Builds replicated states with leases from an earlier control leader. */
final class InheritedLeaseFixture {
    static final String SERVICE = "s";
    static final DataCentreId DATA_CENTRE = DataCentreId.of("north");

    private InheritedLeaseFixture() {}

    /** Returns a state in which one process holds the leases of the groups of the databases. */
    static ControlState of(List<String> databases, Leaseholder holder) {
        Workspace workspace =
                new Workspace(
                        WorkspaceId.of("w"), new RateLimit(10, 10), Set.of(SERVICE), Map.of());
        Service service = new Service(SERVICE, databases, 3, 2, 16, AcknowledgeMode.DURABLE, true);
        Configuration configuration =
                new Configuration(
                        1, List.of(DATA_CENTRE), List.of(workspace), List.of(service), List.of());
        ControlState state =
                ControlStateMachine.apply(
                                ControlState.EMPTY,
                                1,
                                new ControlCommand.ApplyConfiguration("first", configuration))
                        .state();
        for (String database : databases) {
            state =
                    ControlStateMachine.apply(
                                    state,
                                    state.version() + 1,
                                    new ControlCommand.AssignLease(
                                            GroupId.of(SERVICE, database), holder))
                            .state();
        }
        return state;
    }

    /** Returns a report of a host, numbered by the incarnation of its only process. */
    static EntryReport report(HostId host, int number, long sequence, List<HeldLease> held) {
        return new EntryReport(
                host,
                number,
                DATA_CENTRE,
                "127.0.0.1:" + number,
                sequence,
                0,
                held,
                List.of(),
                Set.of(),
                false,
                sequence - 1);
    }
}
