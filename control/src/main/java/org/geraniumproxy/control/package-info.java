/**
 * The command-line tool {@code geraniumctl}: checks, compares and applies configurations, shows the status of the VMs,
 * and creates API keys.
 */
package org.geraniumproxy.control;
