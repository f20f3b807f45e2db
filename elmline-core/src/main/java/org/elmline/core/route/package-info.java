/** Ownership of backend servers and the choice of an owner entry. */
package org.elmline.core.route;
