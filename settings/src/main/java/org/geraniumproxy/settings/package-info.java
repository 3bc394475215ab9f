/** The settings module of geraniumproxy. */
package org.geraniumproxy.settings;
