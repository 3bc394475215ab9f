/** Session tokens and the requirements that they place on a read. */
package org.geraniumproxy.core.session;
