/**
 * Requests of callers, their sessions and the answers; start at {@link Statement}, {@link
 * GroupOperation} and {@link SessionToken}.
 */
package org.crocusturn.core.callers;
