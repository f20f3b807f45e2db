/** Chooses the backend server for a request; policies are plug-ins. */
package org.elmline.core.placement;
