/** The plug-in that speaks to stand-in engines over HTTP. */
package org.elmline.daemon.engine;
