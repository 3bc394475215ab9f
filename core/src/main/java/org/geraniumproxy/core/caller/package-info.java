/** Callers' sessions: placement of statements on databases, state of their connections and results for the caller. */
package org.geraniumproxy.core.caller;
