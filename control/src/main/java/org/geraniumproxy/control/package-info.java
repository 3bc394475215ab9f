/** The operators' tool: checks, compares and applies configurations, shows the fleet, and creates keys. */
package org.geraniumproxy.control;
