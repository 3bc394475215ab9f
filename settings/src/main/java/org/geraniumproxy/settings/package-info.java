/** Reads the TOML files of operators into core types and collects findings with line and column. */
package org.geraniumproxy.settings;
