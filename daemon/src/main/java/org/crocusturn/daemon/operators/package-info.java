/** Operators' HTTP interface, YAML files and command line. */
package org.crocusturn.daemon.operators;
