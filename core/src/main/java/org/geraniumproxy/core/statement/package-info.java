/** Callers' statements as decoded by a front end. */
package org.geraniumproxy.core.statement;
