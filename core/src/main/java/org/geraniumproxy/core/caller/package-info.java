/** Sessions of callers: which statements run where, what a connection must know first, and what the caller is told. */
package org.geraniumproxy.core.caller;
