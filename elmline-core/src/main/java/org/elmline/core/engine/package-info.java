/** What elmline asks of a model engine, as one small plug-in interface. */
package org.elmline.core.engine;
