/** Health routes, metrics and stop signals for the platform. */
package org.crocusturn.daemon.platform;
