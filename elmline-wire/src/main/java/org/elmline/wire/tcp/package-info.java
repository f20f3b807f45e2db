/** Length-prefixed frames between elmline processes over TCP, mutually authenticated, bounded in size and number. */
package org.elmline.wire.tcp;
