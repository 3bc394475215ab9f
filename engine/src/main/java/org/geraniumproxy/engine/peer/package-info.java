/** Encoding and transport of messages between VMs. */
package org.geraniumproxy.engine.peer;
