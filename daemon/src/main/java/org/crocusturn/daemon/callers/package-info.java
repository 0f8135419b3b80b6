/** HTTP front end for callers. */
package org.crocusturn.daemon.callers;
