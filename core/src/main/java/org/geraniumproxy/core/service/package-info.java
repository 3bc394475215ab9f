/** Operator's configuration of the session front end: routes, customers and database groups. */
package org.geraniumproxy.core.service;
