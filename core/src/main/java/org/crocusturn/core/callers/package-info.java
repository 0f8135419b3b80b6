/**
 * What callers ask for and what they get; start at {@link Statement}, {@link GroupOperation} and
 * {@link SessionToken}.
 */
package org.crocusturn.core.callers;
