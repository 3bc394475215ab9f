/** Routes, customers and database groups as an operator's configuration names them for callers with sessions. */
package org.geraniumproxy.core.service;
