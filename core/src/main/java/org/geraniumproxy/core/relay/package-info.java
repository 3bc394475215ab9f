/** Use of another VM's database connections: messages and the decisions of both sides. */
package org.geraniumproxy.core.relay;
