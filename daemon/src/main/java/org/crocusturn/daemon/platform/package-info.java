/** Health routes, metrics and the signals of the platform. */
package org.crocusturn.daemon.platform;
