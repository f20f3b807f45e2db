/** The interface to model engines, implemented by one plug-in for each engine protocol. */
package org.elmline.core.engine;
