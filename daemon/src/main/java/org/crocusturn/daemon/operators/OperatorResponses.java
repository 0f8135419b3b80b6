package org.crocusturn.daemon.operators;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.operators.ChangeOutcome;
import org.crocusturn.core.operators.EndpointRecord;
import org.crocusturn.core.operators.GroupRecord;
import org.crocusturn.core.operators.UsageLedger;
import org.crocusturn.core.operators.UsageWindow;
import org.crocusturn.daemon.net.FailureResponse;
import org.crocusturn.daemon.net.HttpResponse;
import org.crocusturn.daemon.net.Json;
import org.crocusturn.daemon.settings.Fault;

/** Encodes the answers of the operator interface; they contain neither keys nor their hashes. */
final class OperatorResponses {
    private static final int OK = 200;

    private OperatorResponses() {}

    static HttpResponse outcome(ChangeOutcome outcome) {
        return outcome.refusal()
                .map(OperatorResponses::failure)
                .orElseGet(
                        () ->
                                HttpResponse.json(
                                        OK,
                                        Json.write(
                                                Json.object()
                                                        .put("changeId", outcome.changeId())
                                                        .put("accepted", true)
                                                        .put("version", outcome.version()))));
    }

    static HttpResponse failure(Failure failure) {
        return FailureResponse.of(failure);
    }

    static HttpResponse faults(List<Fault> faults) {
        Failure failure =
                Failure.notRun(
                        ErrorCode.MALFORMED_REQUEST,
                        "the file has " + faults.size() + " faults; nothing was changed");
        ObjectNode body = FailureResponse.body(failure);
        ArrayNode list = body.putArray("faults");
        faults.forEach(
                f ->
                        list.addObject()
                                .put("line", f.line())
                                .put("path", f.path())
                                .put("value", f.value())
                                .put("allowed", f.allowed()));
        return HttpResponse.json(FailureResponse.status(failure), Json.write(body));
    }

    static HttpResponse status(ControlStatus status) {
        ObjectNode body = Json.object();
        body.put("host", status.host().value()).put("leads", status.leads());
        status.leader().ifPresent(leader -> body.put("leader", leader.value()));
        body.put("term", status.term())
                .put("version", status.state().version())
                .put("configuration", status.state().configuration().version());
        ArrayNode members = body.putArray("members");
        status.membership()
                .members()
                .forEach(
                        m ->
                                members.addObject()
                                        .put("host", m.host().value())
                                        .put("address", m.linkAddress())
                                        .put("voter", m.voter()));
        ArrayNode entryHosts = body.putArray("entryHosts");
        status.entryHosts().stream().sorted().forEach(h -> entryHosts.add(h.value()));
        ArrayNode drained = body.putArray("drained");
        status.state().drained().stream().sorted().forEach(d -> drained.add(d.value()));
        ArrayNode endpoints = body.putArray("endpoints");
        status.state().endpoints().values().stream()
                .sorted(java.util.Comparator.comparing(EndpointRecord::id))
                .forEach(e -> endpoint(endpoints.addObject(), e));
        ArrayNode groups = body.putArray("groups");
        status.state().groups().values().stream()
                .sorted(java.util.Comparator.comparing(GroupRecord::id))
                .forEach(g -> group(groups.addObject(), g));
        ArrayNode keys = body.putArray("keys");
        status.state().keys().values().stream()
                .sorted(java.util.Comparator.comparing(k -> k.id()))
                .forEach(
                        k ->
                                keys.addObject()
                                        .put("id", k.id())
                                        .put("workspace", k.workspace().value()));
        return HttpResponse.json(OK, Json.write(body));
    }

    /** Encodes the usage reports with the figures that the platform gets. */
    static HttpResponse usage(ControlStatus status) {
        UsageLedger usage = status.state().usage();
        ObjectNode body = Json.object();
        body.put("host", status.host().value()).put("version", status.state().version());
        usage.holder().ifPresent(holder -> body.put("holder", holder.value()));
        body.put("fence", usage.fence());
        usage.lastClosed().ifPresent(window -> body.put("lastClosed", window));
        windows(body.putArray("acknowledged"), usage.acknowledged());
        windows(body.putArray("waiting"), usage.unacknowledged());
        return HttpResponse.json(OK, Json.write(body));
    }

    private static void windows(ArrayNode nodes, List<UsageWindow> windows) {
        windows.forEach(
                window -> {
                    ObjectNode counts =
                            nodes.addObject().put("window", window.number()).putObject("counts");
                    window.counts().forEach((id, count) -> counts.put(id.value(), count));
                });
    }

    private static void endpoint(ObjectNode node, EndpointRecord endpoint) {
        node.put("endpoint", endpoint.id().value())
                .put("service", endpoint.service())
                .put("dataCentre", endpoint.dataCentre().value())
                .put("address", endpoint.address())
                .put("leaving", endpoint.leaving());
    }

    private static void group(ObjectNode node, GroupRecord group) {
        node.put("group", group.id().toString()).put("term", group.term());
        group.primary().ifPresent(p -> node.put("primary", p.value()));
        group.leaseholder()
                .ifPresent(h -> node.put("leaseholder", h.host().value()).put("epoch", h.epoch()));
    }
}
