/** A whole deployment in one process on loopback, stand-ins included: the embedded default, and what tests drive. */
package org.elmline.cli.local;
