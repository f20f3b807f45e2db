/**
 * A whole deployment in one process on loopback, stand-ins included: the default for embedding, and the deployment that
 * tests use.
 */
package org.elmline.cli.local;
