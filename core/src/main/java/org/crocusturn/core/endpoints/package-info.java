/**
 * Database endpoints: how statements are routed to their databases and how a primary is replaced;
 * start at {@link CopyStatus}.
 */
package org.crocusturn.core.endpoints;
