package org.crocusturn.core.controlhosts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.crocusturn.core.Decision;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.FirstStartAnswer.Finding;

/**
 * Decides whether a control host with an empty data folder may start a new group.
 *
 * <p>The host may do so only after every other member has stored the id of its data folder. A host
 * that lost its disk has a new id, which the other members refuse. Hosts that have already started
 * continue to answer. docs/consensus.md explains why this is safe.
 *
 * @param self this host
 * @param members members named in the settings
 * @param ids stored ids of data folders
 * @param answers latest answer of each other member
 * @param undecided whether this host has not decided yet between a new group and a recovery
 */
public record FirstStart(
        HostId self,
        Membership members,
        FirstStartIds ids,
        Map<HostId, Finding> answers,
        boolean undecided) {
    /** Copies the map. */
    public FirstStart {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(members, "members");
        Objects.requireNonNull(ids, "ids");
        answers = Map.copyOf(answers);
    }

    /** Creates the state of a host that asks the other members; its own id must be synced. */
    public static FirstStart asking(HostId self, Membership members, FirstStartIds ids) {
        return new FirstStart(self, members, ids, Map.of(), true);
    }

    /** Creates the state of a host that only answers, because its own log has started. */
    public static FirstStart answering(HostId self, Membership members, FirstStartIds ids) {
        return new FirstStart(self, members, ids, Map.of(), false);
    }

    /** Returns the members that have not allowed the start yet. */
    public List<HostId> unconfirmedMembers() {
        return members.members().stream()
                .map(Member::host)
                .filter(host -> !host.equals(self) && answers.get(host) != Finding.NEW)
                .toList();
    }

    /**
     * Repeats the question to the members that have not allowed the start yet; starts at once if
     * there are no other members.
     */
    public Decision<FirstStart, FirstStartAction> tick() {
        if (!undecided) {
            return Decision.of(this);
        }
        List<FirstStartAction> questions = new ArrayList<>();
        FirstStartQuestion question = new FirstStartQuestion(ids.own(), members);
        unconfirmedMembers()
                .forEach(host -> questions.add(new FirstStartAction.Ask(host, question)));
        return new Decision<FirstStart, FirstStartAction>(this, questions).then(withDecision());
    }

    /**
     * Answers the question of another host.
     *
     * @param from sender of the question
     * @param question the question
     * @param holdsLog whether this host has a term, an entry or a snapshot
     */
    public Decision<FirstStart, FirstStartAction> onQuestion(
            HostId from, FirstStartQuestion question, boolean holdsLog) {
        Long known = ids.others().get(from);
        if (holdsLog || known != null && known != question.startId()) {
            return Decision.of(this, answer(from, question, Finding.STARTED_BEFORE));
        }
        if (!sameMembers(question.members()) || members.member(from).isEmpty()) {
            return Decision.of(this, answer(from, question, Finding.OTHER_MEMBERS));
        }
        FirstStartAction reply = answer(from, question, Finding.NEW);
        if (known != null) {
            return Decision.of(this, reply);
        }
        FirstStartIds updatedIds = ids.withId(from, question.startId());
        return new Decision<>(
                new FirstStart(self, members, updatedIds, answers, undecided),
                List.of(new FirstStartAction.Save(updatedIds), reply));
    }

    /** Processes the answer of another host; an answer with another folder's id is ignored. */
    public Decision<FirstStart, FirstStartAction> onAnswer(HostId from, FirstStartAnswer answer) {
        boolean counts =
                undecided
                        && answer.startId() == ids.own()
                        && members.member(from).isPresent()
                        && !from.equals(self);
        if (!counts) {
            return Decision.of(this);
        }
        Map<HostId, Finding> updatedAnswers = new HashMap<>(answers);
        updatedAnswers.put(from, answer.finding());
        return new FirstStart(self, members, ids, updatedAnswers, true).withDecision();
    }

    private Decision<FirstStart, FirstStartAction> withDecision() {
        boolean recover = answers.containsValue(Finding.STARTED_BEFORE);
        if (!recover && !unconfirmedMembers().isEmpty()) {
            return Decision.of(this);
        }
        return Decision.of(
                new FirstStart(self, members, ids, answers, false),
                new FirstStartAction.Start(!recover));
    }

    private boolean sameMembers(Membership others) {
        return Set.copyOf(members.members()).equals(Set.copyOf(others.members()));
    }

    private static FirstStartAction answer(
            HostId to, FirstStartQuestion question, Finding finding) {
        return new FirstStartAction.Answer(to, new FirstStartAnswer(question.startId(), finding));
    }
}
