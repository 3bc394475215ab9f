/** The operators' configuration as immutable values. */
package org.geraniumproxy.core.configuration;
