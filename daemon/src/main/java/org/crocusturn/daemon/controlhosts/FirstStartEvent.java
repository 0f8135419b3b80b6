package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.FirstStartAnswer;
import org.crocusturn.core.controlhosts.FirstStartQuestion;

/** An event of {@link FirstStartDuty}. */
sealed interface FirstStartEvent {
    /** Another control host asked whether it may start a group. */
    record QuestionReceived(HostId from, FirstStartQuestion question) implements FirstStartEvent {}

    /** Another control host answered a question of this host. */
    record AnswerReceived(HostId from, FirstStartAnswer answer) implements FirstStartEvent {}
}
