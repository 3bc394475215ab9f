/** Statements of callers, decoded once by a front end. */
package org.geraniumproxy.core.statement;
