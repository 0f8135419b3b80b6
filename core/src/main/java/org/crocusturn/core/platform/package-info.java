/** The platform that runs the processes: their phases and readiness; start at {@link Phase}. */
package org.crocusturn.core.platform;
