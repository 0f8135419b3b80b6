/** HTTP interface, YAML files and command line for operators. */
package org.crocusturn.daemon.operators;
