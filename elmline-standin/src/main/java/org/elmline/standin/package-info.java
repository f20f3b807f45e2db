/** Stand-ins for model engines and plain services, with their model. */
package org.elmline.standin;
