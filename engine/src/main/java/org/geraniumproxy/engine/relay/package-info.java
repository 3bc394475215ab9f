/** Streams between VMs that use each other's database connections: frames and their transport. */
package org.geraniumproxy.engine.relay;
