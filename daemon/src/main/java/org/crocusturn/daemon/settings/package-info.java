/** Settings of a process, read from its YAML file by {@link SettingsReader}. */
package org.crocusturn.daemon.settings;
