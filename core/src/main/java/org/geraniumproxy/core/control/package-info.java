/** Transitions between immutable states, shared by all decisions of the core. */
package org.geraniumproxy.core.control;
