/**
 * Decisions about database endpoints: routing of statements and replacement of a failed primary.
 * The status of a copy is described by {@link CopyStatus}.
 */
package org.crocusturn.core.endpoints;
