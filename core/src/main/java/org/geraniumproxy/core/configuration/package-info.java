/** The operators' configuration as immutable values, and the state machine that applies a new revision of it. */
package org.geraniumproxy.core.configuration;
