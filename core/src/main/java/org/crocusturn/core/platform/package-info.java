/**
 * Interaction with the platform that runs the processes: lifecycle phases and readiness, see {@link
 * org.crocusturn.core.platform.Lifecycle}.
 */
package org.crocusturn.core.platform;
