/**
 * The configuration that operators declare and the state that control hosts replicate; start at
 * {@link Configuration} and {@link ControlState}.
 */
package org.crocusturn.core.operators;
