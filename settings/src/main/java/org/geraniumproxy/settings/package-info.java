/** Reads TOML settings and configuration files into core types and reports all errors with line and column. */
package org.geraniumproxy.settings;
