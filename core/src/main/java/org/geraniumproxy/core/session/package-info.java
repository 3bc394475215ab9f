/** Session tokens and the requirements that they impose on reads. */
package org.geraniumproxy.core.session;
