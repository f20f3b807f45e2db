/** Benchmark commands. */
package org.elmline.cli.bench;
