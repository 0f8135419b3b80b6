package org.crocusturn.daemon.controlhosts;

import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.FirstStartAnswer;
import org.crocusturn.core.controlhosts.FirstStartQuestion;

/** Is an event of {@link FirstStartDuty}. */
sealed interface FirstStartEvent {
    /** Another control host asks whether it may start a group. */
    record QuestionReceived(HostId from, FirstStartQuestion question) implements FirstStartEvent {}

    /** Another control host answers. */
    record AnswerReceived(HostId from, FirstStartAnswer answer) implements FirstStartEvent {}
}
