/** A whole deployment in one process; start at {@link LocalDeployment}. */
package org.crocusturn.standin.local;
