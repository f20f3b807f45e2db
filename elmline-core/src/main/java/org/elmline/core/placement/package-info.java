/** Chooses the engine for a request; policies are plug-ins. */
package org.elmline.core.placement;
