/** Stand-ins for the users' backend servers: what they share. */
package org.elmline.standin;
