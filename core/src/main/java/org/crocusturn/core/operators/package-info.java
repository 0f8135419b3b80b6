/**
 * What operators declare and what control hosts agree on; start at {@link Configuration} and {@link
 * ControlState}.
 */
package org.crocusturn.core.operators;
