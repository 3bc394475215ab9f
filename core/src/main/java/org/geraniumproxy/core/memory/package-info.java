/** Bounds of what callers and databases may make a process hold. */
package org.geraniumproxy.core.memory;
