/**
 * State transitions and invariant checks shared by the state machines of the core, and the snapshot for traffic
 * threads.
 */
package org.geraniumproxy.core.control;
