package org.crocusturn.core.endpoints;

/**
 * How an answer relates to the command that is outstanding on its connection.
 *
 * <p>Endpoints may give an answer twice, the second time late, and answers name no command.
 */
public enum AnswerMatch {
    /** The answer is that of the outstanding command. */
    OWN,
    /** The answer may be that of the outstanding command or repeat an earlier one. */
    UNCERTAIN,
    /** The answer belongs to an earlier command, or repeats the answer to one. */
    EARLIER,
    /** The answer belongs to no command that was sent on the connection. */
    FOREIGN
}
