/** Settings of a process, read from its YAML file; start at {@link EntrySettings}. */
package org.crocusturn.daemon.settings;
