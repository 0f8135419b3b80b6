/** Deployment that runs in one process; start at {@link LocalDeployment}. */
package org.crocusturn.standin.local;
