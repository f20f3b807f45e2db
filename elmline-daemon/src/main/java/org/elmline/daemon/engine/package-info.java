/** The plug-in that connects to stand-in engines over HTTP. */
package org.elmline.daemon.engine;
